"""Child processes on loopback, their memory and processor time, and HTTP calls to them."""

import json
import os
import random
import socket
import subprocess
import sys
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import urllib3

HOST = "127.0.0.1"
CALL_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 10.0
FIRST_PORT = 12_000
LAST_PORT = 32_000
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def choose_ports(names: Sequence[str]) -> dict[str, int]:
    """Return a free port for each name, below the range that outgoing connections use.

    An outgoing connection may occupy a port of that range before its server starts.

    :raises OSError: too few ports are free
    """
    ports: list[int] = []
    for port in random.sample(range(FIRST_PORT, LAST_PORT), LAST_PORT - FIRST_PORT):
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == len(names):
            return dict(zip(names, ports, strict=True))
    raise OSError(f"fewer than {len(names)} free ports from {FIRST_PORT} to {LAST_PORT}")


@dataclass(kw_only=True)
class Processes:
    """Child processes whose settings and logs are in a folder.

    :param has_bytecode_files: whether children load byte code from files, as after an installation
        by pip; a process that compiles its modules itself uses over 1 MB more memory
    """

    folder: Path
    has_bytecode_files: bool = True
    process_by_name: dict[str, "subprocess.Popen[bytes]"] = field(default_factory=dict)

    def compile(self, module: str) -> None:
        """Write the byte code of a program and all its imports into the folder."""
        if self.has_bytecode_files:
            subprocess.run([sys.executable, "-c", f"import {module}"], env=self._env(), check=True)

    def _env(self) -> dict[str, str]:
        env = dict(os.environ)
        if self.has_bytecode_files:
            env.pop("PYTHONDONTWRITEBYTECODE", None)
            env["PYTHONPYCACHEPREFIX"] = str(self.folder / "bytecode")
        else:
            env |= {"PYTHONDONTWRITEBYTECODE": "1"}
        return env

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Run ``python -m module arguments``; its output goes to a log file."""
        with (self.folder / f"{name}.log").open("ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=self._env(),
            )

    def start_with_settings(self, name: str, module: str, settings: dict[str, Any]) -> None:
        """Run a program with a settings file."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.start(name, module, "--settings", str(path))

    def stop(self) -> None:
        """Terminate all children; kill those that do not end within STOP_TIMEOUT_S."""
        for process in self.process_by_name.values():
            process.terminate()
        for process in self.process_by_name.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def memory_kb(self, name: str) -> dict[str, int]:
        """Return ``VmRSS`` and, if the kernel provides it, ``Pss`` in kB."""
        folder = Path(f"/proc/{self.process_by_name[name].pid}")
        kb_by_field: dict[str, int] = {}
        for file, key in (("status", "VmRSS"), ("smaps_rollup", "Pss")):
            with suppress(OSError):
                for line in (folder / file).read_text().splitlines():
                    if line.startswith(f"{key}:"):
                        kb_by_field[key] = int(line.split()[1])
        return kb_by_field

    def cpu_s(self, name: str) -> float:
        """Return the processor time used so far in seconds."""
        text = Path(f"/proc/{self.process_by_name[name].pid}/stat").read_text()
        # The name in parentheses, field 2 of proc(5), may contain spaces. The two values are fields
        # 14 and 15, utime and stime.
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def call_http(
    port: int, method: str, path: str, body: Any = None, *, key: str = "", timeout_s: float = 10.0
) -> Any:
    """Call an HTTP server on loopback and return the JSON body, or the bytes of another body.

    :raises OSError: the server does not answer, or its status is not 200
    """
    try:
        response = urllib3.request(
            method,
            f"http://{HOST}:{port}{path}",
            body=None if body is None else json.dumps(body).encode(),
            headers={"Idempotency-Key": key} if key else {},
            timeout=timeout_s,
            retries=False,
        )
    except urllib3.exceptions.HTTPError as error:
        raise OSError(str(error)) from error
    if response.status != 200:
        raise OSError(f"{method} {path}: status {response.status}: {response.data[:300]!r}")
    return json.loads(response.data) if response.data[:1] in b"{[" else response.data
