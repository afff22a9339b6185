package org.guavahatch.standins.launch

import org.guavahatch.standins.Subcommand
import org.kohsuke.args4j.Option
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

/** Subcommand `demo`: runs the example deployments `frost-fleece` and `song-lam`, each with a mixed load. */
internal class DemoMain : Subcommand {
    @Option(name = "--examples", required = true, usage = "directory with the examples")
    private var examples = ""

    @Option(name = "--directory", required = true, usage = "directory for settings, logs and results")
    private var directory = ""

    @Option(name = "--keep", usage = "leave all processes running")
    private var keepRunning = false

    override fun run() {
        val workDirectory = Files.createDirectories(Path.of(directory))
        val demos = listOf(
            Demo(frostFleece, Path.of(examples, "frost-fleece"), workDirectory),
            Demo(songLam, Path.of(examples, "song-lam"), workDirectory),
        )
        val summaries = demos.map { it.run(keepRunning) }
        val total = summaries.reduce(DemoSummary::plus)
        println("demo: $total")
        exitProcess(if (total.wrong == 0 && total.isStoppedGracefully) 0 else 1)
    }

    private companion object {
        val frostFleece = deploymentPlan("frost-fleece") {
            zones = listOf("cairo-a", "cairo-b", "cairo-c")
            engines("model-desk", 1.0, 1.5, 0.7, 1.0)
            applications("order-app", count = 2)
        }
        val songLam = deploymentPlan("song-lam") {
            zones = listOf("can-tho", "vinh-long", "soc-trang")
            engines("rota-assistant", 1.0, 0.8, 1.3, 1.0)
            applications("gate-ledger", count = 2)
        }
    }
}
