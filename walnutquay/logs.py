# Licensed under the Apache License 2.0: see LICENSE for details.

"""Logs by logbook: JSON lines for programs, plain lines for people."""

from __future__ import annotations

import sys

import logbook
import orjson

from walnutquay.sections import LogFormat, LogSection
from walnutquay.transport.lines import LineWriter

TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name:<7} "
    "{record.channel}: {record.message}"
)


class JsonFormatter:
    """Writes a record as one line of JSON.

    :param vm: this VM's name, which stands in each line.
    """

    def __init__(self, vm: str) -> None:
        self.vm = vm

    def __call__(self, record: logbook.LogRecord, handler: logbook.Handler) -> str:
        """:param record: what is logged.

        :param handler: who writes it.
        :returns: the line.
        """
        line = {
            "time": record.time.isoformat(),
            "level": record.level_name,
            "channel": record.channel,
            "vm": self.vm,
            "message": record.message,
        }
        if record.formatted_exception:
            line["exception"] = record.formatted_exception
        line.update(record.extra)
        return orjson.dumps(line, default=str).decode()


class LineHandler(logbook.Handler):
    """Hands each record to a writer that never waits.

    :param writer: the writer.
    :param vm: this VM's name.
    :param level: the least grave record that is written.
    """

    def __init__(self, writer: LineWriter, vm: str, level: str) -> None:
        super().__init__(level)
        self.writer = writer
        self.formatter = JsonFormatter(vm)

    def emit(self, record: logbook.LogRecord) -> None:
        """:param record: what is logged."""
        self.writer.write(self.format(record).encode() + b"\n")


def open_line_log(section: LogSection, vm: str) -> LineWriter:
    """Send all logs of this process to standard output as lines of JSON.

    :param section: the settings.
    :param vm: this VM's name.
    :returns: the writer, which counts the lines that it dropped.
    """
    logbook.set_datetime_format("utc")
    writer = LineWriter(sys.stdout.fileno())
    LineHandler(writer, vm, section.level.value).push_application()
    return writer


def open_log(section: LogSection, vm: str) -> logbook.Handler:
    """Send all logs of this process to standard error.

    :param section: the settings.
    :param vm: this VM's name.
    :returns: the handler, in force until it is popped.
    """
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(sys.stderr, level=section.level.value)
    if section.format is LogFormat.JSON:
        handler.formatter = JsonFormatter(vm)
    else:
        handler.format_string = TEXT_FORMAT
    handler.push_application()
    return handler
