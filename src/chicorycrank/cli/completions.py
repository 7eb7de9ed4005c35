"""Completion of commands and options in bash."""

from cleo.application import Application
from cleo.commands.command import Command
from cleo.commands.completions_command import CompletionsCommand

from chicorycrank.cli.base import help_text

SCRIPT = """\
_chicorycrank() {{
    local cur="${{COMP_WORDS[COMP_CWORD]}}" first="${{COMP_WORDS[1]}}" second="${{COMP_WORDS[2]}}"
    local words=""
    if [[ $cur == -* ]]; then
        case "$first $second" in
{options}
        esac
    elif (( COMP_CWORD == 1 )); then
        words="{firsts}"
    elif (( COMP_CWORD == 2 )); then
        case "$first" in
{seconds}
        esac
    fi
    COMPREPLY=($(compgen -W "$words" -- "$cur"))
}}
complete -o default -F _chicorycrank chicorycrank
"""


class Completions(CompletionsCommand):
    """Prints a completion script.

    The script of ``cleo`` for bash takes the first word alone as the command, so it completes no
    option of a command of two words.
    """

    help = help_text("completions bash > ~/.local/share/bash-completion/completions/chicorycrank")

    def handle(self) -> int:
        """Print the script of the named shell."""
        if self.argument("shell") != "bash" or self.application is None:
            return int(super().handle())
        self.io.write_line(bash_script(self.application))
        return 0


def bash_script(application: Application) -> str:
    """Return the completion script for bash; it needs no other script."""
    commands = {c.name: c for c in application.all().values() if c.name and not c.hidden}
    seconds_by_first: dict[str, list[str]] = {}
    for name in sorted(commands):
        first, _, second = name.partition(" ")
        seconds_by_first.setdefault(first, []).extend([second] if second else [])
    options = [_case(f'"{name}"*', _options(command)) for name, command in sorted(commands.items())]
    seconds = [_case(first, names) for first, names in seconds_by_first.items() if names]
    return SCRIPT.format(
        options="\n".join(options), firsts=" ".join(seconds_by_first), seconds="\n".join(seconds)
    )


def _options(command: Command) -> list[str]:
    return ["--help", *(f"--{option.name}" for option in command.definition.options)]


def _case(pattern: str, words: list[str]) -> str:
    return f'            {pattern}) words="{" ".join(words)}" ;;'
