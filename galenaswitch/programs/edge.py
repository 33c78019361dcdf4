"""``galena-edge``: command-line entry point of a VM's process."""

import signal


def main() -> None:
    """Run the process of a VM.

    Its default action on SIGHUP would end the process while it imports its
    components. It reads its settings after that, so it ignores the signal.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from galenaswitch.programs.vm_process import run_command_line  # noqa: PLC0415

    run_command_line()


if __name__ == '__main__':
    main()
