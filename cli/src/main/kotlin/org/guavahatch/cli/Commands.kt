package org.guavahatch.cli

import org.guavahatch.cli.bench.BenchCommand
import org.guavahatch.cli.command.CheckCommand
import org.guavahatch.cli.command.ClaimsCommand
import org.guavahatch.cli.command.Command
import org.guavahatch.cli.command.DiffCommand
import org.guavahatch.cli.command.DrainCommand
import org.guavahatch.cli.command.HashKeyCommand
import org.guavahatch.cli.command.HistoryCommand
import org.guavahatch.cli.command.PublishCommand
import org.guavahatch.cli.command.RollbackCommand
import org.guavahatch.cli.command.RolloutsCommand
import org.guavahatch.cli.command.ShowCommand
import org.guavahatch.cli.command.StatusCommand
import org.guavahatch.cli.command.UndrainCommand
import org.guavahatch.cli.load.LoadCommand
import org.guavahatch.cli.report.ReportCommand

/** Registry of the commands of `guavahatch`. */
internal object Commands {
    private class Entry(val summary: String, val create: () -> Command)

    private val entries = linkedMapOf(
        "check" to Entry("checks a configuration file") { CheckCommand() },
        "diff" to Entry("shows what a file would change") { DiffCommand() },
        "publish" to Entry("publishes a configuration file") { PublishCommand() },
        "show" to Entry("shows an accepted configuration") { ShowCommand() },
        "history" to Entry("lists accepted configurations") { HistoryCommand() },
        "rollback" to Entry("publishes the content of an earlier configuration again") { RollbackCommand() },
        "drain" to Entry("takes an endpoint out of service") { DrainCommand() },
        "undrain" to Entry("puts an endpoint back into service") { UndrainCommand() },
        "status" to Entry("shows the readiness and configuration of processes") { StatusCommand() },
        "rollouts" to Entry("shows the rollouts of a gateway") { RolloutsCommand() },
        "claims" to Entry("lists claims without an outcome") { ClaimsCommand() },
        "hash-key" to Entry("hashes a client key for the configuration") { HashKeyCommand() },
        "load" to Entry("generates load and measures the answers") { LoadCommand() },
        "bench" to Entry("compares scheduling policies in virtual time") { BenchCommand() },
        "report" to Entry("reports error-budget burn from the result of a load") { ReportCommand() },
    )

    /** Summary of each command by name. */
    val summaries: Map<String, String> get() = entries.mapValues { it.value.summary }

    /** Creates the command [name], or returns null if it does not exist. */
    fun create(name: String): Command? = entries[name]?.create?.invoke()
}
