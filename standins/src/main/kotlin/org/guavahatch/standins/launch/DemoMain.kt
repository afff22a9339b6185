package org.guavahatch.standins.launch

import org.guavahatch.standins.StandIn
import org.kohsuke.args4j.Option
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

/** Command line of the demo: both users' deployments with a mixed load each. */
internal class DemoMain : StandIn {
    @Option(name = "--examples", required = true, usage = "directory with the examples")
    private var examples = ""

    @Option(name = "--directory", required = true, usage = "directory for settings, logs and results")
    private var directory = ""

    @Option(name = "--keep", usage = "leave all processes running")
    private var isKept = false

    override fun run() {
        val work = Files.createDirectories(Path.of(directory))
        val demos = listOf(
            Demo(frostFleece, Path.of(examples, "frost-fleece"), work),
            Demo(songLam, Path.of(examples, "song-lam"), work),
        )
        val summaries = demos.map { it.run(isKept) }
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
