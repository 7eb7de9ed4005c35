"""Script that completes commands and options in bash."""

from cleo.application import Application
from cleo.commands.command import Command
from cleo.commands.completions_command import CompletionsCommand

from chicorycrank.cli.base import help_text

BASH_SCRIPT_TEMPLATE = """\
_chicorycrank() {{
    local cur="${{COMP_WORDS[COMP_CWORD]}}" first="${{COMP_WORDS[1]}}" second="${{COMP_WORDS[2]}}"
    local words=""
    if [[ $cur == -* ]]; then
        case "$first $second" in
{option_branches}
        esac
    elif (( COMP_CWORD == 1 )); then
        words="{first_words}"
    elif (( COMP_CWORD == 2 )); then
        case "$first" in
{second_words}
        esac
    fi
    COMPREPLY=($(compgen -W "$words" -- "$cur"))
}}
complete -o default -F _chicorycrank chicorycrank
"""


class CompletionScript(CompletionsCommand):
    """Command that prints a completion script.

    The bash script of ``cleo`` takes only the first word as the command, so it does not complete
    options of two-word commands.
    """

    help = help_text("completions bash > ~/.local/share/bash-completion/completions/chicorycrank")

    def handle(self) -> int:
        """Print the script for the given shell."""
        if self.argument("shell") != "bash" or self.application is None:
            return int(super().handle())
        self.io.write_line(bash_script(self.application))
        return 0


def bash_script(application: Application) -> str:
    """Return the completion script for bash, which needs no other script."""
    commands = {c.name: c for c in application.all().values() if c.name and not c.hidden}
    second_words_by_first: dict[str, list[str]] = {}
    for name in sorted(commands):
        first_word, _, second_word = name.partition(" ")
        second_words_by_first.setdefault(first_word, []).extend(
            [second_word] if second_word else []
        )
    option_branches = [
        _case_branch(f'"{name}"*', _option_flags(command))
        for name, command in sorted(commands.items())
    ]
    second_words = [
        _case_branch(first_word, names)
        for first_word, names in second_words_by_first.items()
        if names
    ]
    return BASH_SCRIPT_TEMPLATE.format(
        option_branches="\n".join(option_branches),
        first_words=" ".join(second_words_by_first),
        second_words="\n".join(second_words),
    )


def _option_flags(command: Command) -> list[str]:
    return ["--help", *(f"--{option.name}" for option in command.definition.options)]


def _case_branch(pattern: str, words: list[str]) -> str:
    return f'            {pattern}) words="{" ".join(words)}" ;;'
