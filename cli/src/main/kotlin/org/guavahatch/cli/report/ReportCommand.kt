package org.guavahatch.cli.report

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.guavahatch.cli.command.Command
import org.guavahatch.cli.command.ConfigurationFile
import org.guavahatch.cli.load.LoadResult
import org.guavahatch.model.configuration.ConfigurationReader
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.nio.file.Files
import java.nio.file.Path
import java.util.Locale

/** Reports error-budget burn from the result of a load. */
internal class ReportCommand : Command {
    @Argument(required = true, metaVar = "FILE", usage = "result of a load, JSON")
    private var resultFile: String = ""

    @Option(name = "--configuration", metaVar = "FILE", usage = "configuration with the tiers' objectives")
    private var configurationFile: String = ""

    @Option(name = "--objective", metaVar = "PERCENT", usage = "objective of groups without one, default 99")
    private var defaultObjective: Double = 99.0

    @Option(name = "--window", metaVar = "SECONDS", usage = "length of a window; may be repeated; default 1, 5 and 30")
    private var windows: List<Int> = ArrayList()

    @Option(name = "--html", metaVar = "FILE", usage = "file for a page with plots")
    private var htmlFile: String = ""

    @Option(name = "--json", metaVar = "FILE", usage = "file for the report as JSON")
    private var jsonFile: String = ""

    override fun run(): Int {
        val result = readResult() ?: return Command.EXIT_USAGE
        val objectives = readObjectives() ?: return Command.EXIT_USAGE
        val lengths = windows.ifEmpty { DEFAULT_WINDOWS_SECONDS }
        val report = BurnCalculator(objectives, defaultObjective, lengths).report(result)
        printGroups("tier", report.tiers)
        printGroups("kind", report.kinds)
        if (jsonFile.isNotEmpty()) Files.writeString(Path.of(jsonFile), json.encodeToString(report))
        if (htmlFile.isNotEmpty()) Files.writeString(Path.of(htmlFile), HtmlReport.write(report))
        return Command.EXIT_OK
    }

    private fun readResult(): LoadResult? {
        val text = ConfigurationFile.read(resultFile) ?: return null
        return try {
            json.decodeFromString<LoadResult>(text)
        } catch (exception: SerializationException) {
            System.err.println("guavahatch: '$resultFile' is not the result of a load: ${exception.message}")
            null
        }
    }

    private fun readObjectives(): Map<String, Double>? {
        if (configurationFile.isEmpty()) return emptyMap()
        val text = ConfigurationFile.read(configurationFile) ?: return null
        return ConfigurationReader.read(configurationFile, text).fold(
            { error ->
                System.err.println(error)
                null
            },
            { set -> set.tiers.associate { it.name to it.objectivePercent } },
        )
    }

    private fun printGroups(label: String, groups: List<GroupBurn>) {
        groups.forEach { group ->
            val burns = group.windows.joinToString("  ") { window ->
                "%d s: worst %.2f, last %.2f".format(Locale.ROOT, window.windowSeconds, window.worst, window.last)
            }
            val share = "${group.good} of ${group.sent} in time, objective ${group.objectivePercent} %"
            println("$label ${group.name}: $share  $burns")
        }
    }

    private companion object {
        val DEFAULT_WINDOWS_SECONDS = listOf(1, 5, 30)
        val json = Json { prettyPrint = true }
    }
}
