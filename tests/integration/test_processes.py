"""Tests of stops, pauses and failures of control VMs with real processes.

The fleet is started once. The tests run in the order of their names, since
processes that a test kills stay down in the following tests.
"""

from __future__ import annotations

import shutil
import signal
import subprocess
import sys
import tempfile
import time
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import ExitStack
from pathlib import Path
from typing import ClassVar

import httpx
import testtools
from parameterized import parameterized

from cranberryseam.experiments import demo as demonstration
from cranberryseam.experiments.demo import Demo
from cranberryseam.experiments.local import (
    LOOPBACK,
    LocalVm,
    plan_layout,
    run_vm,
)

FIRST_PORT = 22000
FIRST_TARGET_PORT = 22800
# Required upper bound.
WITHDRAWAL_GOAL_S = 5.0
# Until a resumed VM serves again.
RETURN_GOAL_S = 5.0
PAUSE_S = 7.0
IN_FLIGHT = 6


class SettingsTest(testtools.TestCase):
    """Guards against a daemon that starts with invalid settings."""

    @parameterized.expand(
        [
            ('missing_file', None, 2),
            ('unknown_key', 'regionz = 1', 2),
            ('no_toml', '= =', 2),
        ]
    )
    def test_exit(self, _name: str, text: str | None, code: int) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'settings.toml'
            if text is not None:
                path.write_text(text)
            done = _run_daemon(path)
        self.assertEqual(done.returncode, code)
        self.assertIn(str(path), done.stderr)
        self.assertNotIn('Traceback', done.stderr)


class FailureTest(testtools.TestCase):
    """Guards against guarantees that process failures violate."""

    stack: ClassVar[ExitStack]
    demo: ClassVar[Demo]

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.stack = ExitStack()
        folder = cls.stack.enter_context(tempfile.TemporaryDirectory())
        layout = plan_layout(Path(folder), ('dar',), 4, 3, FIRST_PORT)
        demonstration.FIRST_TARGET_PORT = FIRST_TARGET_PORT
        cls.demo = demonstration.start_fleet(layout, cls.stack)

    @classmethod
    def tearDownClass(cls) -> None:
        cls.stack.close()
        super().tearDownClass()

    def test_1_stop_cuts_no_request(self) -> None:
        """A VM receives SIGTERM under load, and again while draining."""
        vm = self.demo.layout.entry[3]
        _slow_down(self.demo, seconds=1.5)
        with ThreadPoolExecutor(IN_FLIGHT) as pool:
            answers = [
                pool.submit(_look_up, vm, self.demo.keys['asha'])
                for _ in range(IN_FLIGHT)
            ]
            time.sleep(0.5)
            process = self.demo.vms[vm.name]
            process.send_signal(signal.SIGTERM)
            time.sleep(0.3)
            process.send_signal(signal.SIGTERM)
            statuses = [answer.result() for answer in answers]
        self.assertEqual(statuses, [200] * IN_FLIGHT)
        self.assertEqual(process.wait(10), 0)
        _slow_down(self.demo, seconds=0.02)

    def test_2_paused_vm_forgets_its_lease(self) -> None:
        """A key withdrawn while a VM is paused is refused afterwards."""
        vm = self.demo.layout.entry[2]
        key = demonstration.grant_key(self.demo, 'bahari-2', 'bahari')
        demonstration.wait_for('key', lambda: _look_up(vm, key) == 200)
        self.demo.vms[vm.name].send_signal(signal.SIGSTOP)
        answers: list[Future[int]] = []
        with ThreadPoolExecutor(1) as pool:
            _withdraw(self.demo, self.demo.layout.entry[0], 'bahari-2')
            time.sleep(PAUSE_S)
            answers.append(pool.submit(_look_up, vm, key))
            time.sleep(0.2)
            self.demo.vms[vm.name].send_signal(signal.SIGCONT)
            resumed_at = time.monotonic()
            self.assertNotEqual(answers[0].result(), 200)
        # It refuses requests until its keys are fresh again.
        zuri = self.demo.keys['zuri']
        demonstration.wait_for('return', lambda: _look_up(vm, zuri) == 200)
        self.assertLess(time.monotonic() - resumed_at, RETURN_GOAL_S)

    def test_3_withdrawal_without_control(self) -> None:
        """Withdrawals and requests work without control VMs."""
        for vm in self.demo.layout.control[1:]:
            self.demo.vms[vm.name].kill()
        entry = self.demo.layout.entry[:3]
        zuri = self.demo.keys['zuri']
        self.assertEqual([_look_up(vm, zuri) for vm in entry], [200] * 3)
        _withdraw(self.demo, entry[0], 'zuri')
        withdrawn_at = time.monotonic()
        demonstration.wait_for(
            'withdrawal', lambda: all(_look_up(vm, zuri) != 200 for vm in entry)
        )
        elapsed_s = time.monotonic() - withdrawn_at
        self.assertLess(elapsed_s, WITHDRAWAL_GOAL_S)
        asha = self.demo.keys['asha']
        self.assertEqual([_look_up(vm, asha) for vm in entry], [200] * 3)

    def test_4_replica_with_an_empty_disk(self) -> None:
        """A replica that lost its disk votes only after a replacement."""
        returning, lost = self.demo.layout.control[1:]
        shutil.rmtree(self.demo.layout.folder / lost.name)
        self.demo.vms[returning.name] = self._restart(returning)
        self.demo.vms[lost.name] = self._restart(lost)
        demonstration.wait_for(
            'control leader', lambda: _find_role(self.demo, 'leader') == 1
        )
        demonstration.wait_for(
            'replica', lambda: bool(_show_control(self.demo, lost))
        )
        self.assertFalse(_show_control(self.demo, lost)['voter'])
        body = {
            'command_key': 'replace',
            'lost': lost.name,
            'added': lost.name,
        }
        path = '/v1/control/replace'
        demonstration.wait_for(
            'replacement',
            lambda: self.demo.client.request_any('POST', path, body).is_ok(),
        )
        demonstration.wait_for(
            'voter', lambda: bool(_show_control(self.demo, lost).get('voter'))
        )
        demonstration.grant_key(self.demo, 'asha-2', 'asha')

    def _restart(self, vm: LocalVm) -> subprocess.Popen[bytes]:
        return self.stack.enter_context(run_vm(self.demo.layout, vm))


def _run_daemon(path: Path) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, '-m', 'cranberryseam.daemon.main', f'--config={path}'],
        capture_output=True,
        text=True,
        timeout=30,
    )


def _look_up(vm: LocalVm, key: str) -> int:
    try:
        response = httpx.get(
            f'http://{vm.callers}/catalogue/1',
            headers={'Authorization': f'Bearer {key}'},
            timeout=20,
            trust_env=False,
        )
    except httpx.HTTPError:
        return 0
    return response.status_code


def _withdraw(demo: Demo, vm: LocalVm, key_id: str) -> None:
    path = f'/v1/keys/{key_id}/withdraw'
    body = {'command_key': f'withdraw-{key_id}'}
    answer = demo.client.request(vm.admin, 'POST', path, body)
    if answer.is_error():
        raise AssertionError(answer.error)


def _slow_down(demo: Demo, seconds: float) -> None:
    for port in range(FIRST_TARGET_PORT, FIRST_TARGET_PORT + len(demo.targets)):
        httpx.post(
            f'http://{LOOPBACK}:{port}/-/faults',
            json={'latency_s': seconds},
            trust_env=False,
        )


def _show_control(demo: Demo, vm: LocalVm) -> dict[str, object]:
    answer = demo.client.request(vm.admin, 'GET', '/v1/control')
    return answer.ok['body'] if answer.is_ok() else {}


def _find_role(demo: Demo, role: str) -> int:
    shown = [_show_control(demo, vm) for vm in demo.layout.control]
    return sum(each.get('role') == role for each in shown)
