//! Bash completion script, used by `source <(dalestandctl completion)`.

pub(super) const BASH: &str = r#"_dalestandctl() {
    local word="${COMP_WORDS[COMP_CWORD]}"
    local before="${COMP_WORDS[COMP_CWORD-1]}"
    case "$before" in
        apply|diff|--key-file) COMPREPLY=($(compgen -f -- "$word")) ;;
        explain) COMPREPLY=($(compgen -W "request engine" -- "$word")) ;;
        drain|undrain) COMPREPLY=($(compgen -W "engine" -- "$word")) ;;
        *) COMPREPLY=($(compgen -W "apply diff status roles explain drain undrain completion \
            --node --key-file --json --author --after --help" -- "$word")) ;;
    esac
}
complete -F _dalestandctl dalestandctl
"#;
