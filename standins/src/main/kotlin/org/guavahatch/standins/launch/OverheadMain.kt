package org.guavahatch.standins.launch

import kotlinx.serialization.Serializable
import org.guavahatch.standins.Subcommand
import org.guavahatch.standins.web.standInJson
import org.kohsuke.args4j.Option
import java.nio.file.Files
import java.nio.file.Path
import java.util.Locale

/**
 * Subcommand `overhead`: measures the latency that one entry instance and one sidecar add to a call. Direct and
 * proxied calls to the same stand-in take turns within one run.
 */
internal class OverheadMain : Subcommand {
    @Option(name = "--configuration", required = true, usage = "configuration of the deployment frost-fleece")
    private var configuration = ""

    @Option(name = "--mix", required = true, usage = "load mix of stock lookups")
    private var mix = ""

    @Option(name = "--directory", required = true, usage = "directory for settings, logs and results")
    private var directory = ""

    @Option(name = "--rounds", usage = "number of measured rounds, after one warm-up round")
    private var rounds = 3

    // Fields of the result file of the operator subcommand `load` that are read here; durations are in milliseconds.
    @Serializable
    private data class Times(val count: Long, val p50: Double, val p95: Double, val p99: Double)

    @Serializable
    private data class Total(val sent: Int, val answered: Int, val duration: Times)

    @Serializable
    private data class Result(val total: Total)

    override fun run() {
        val workDirectory = Files.createDirectories(Path.of(directory))
        PlatformProcess.start(workDirectory).use { platform ->
            Deployment.start(PLAN, platform, workDirectory).use { deployment ->
                val published = deployment.publish(Path.of(configuration))
                check(published.exitCode == 0) { published.output }
                deployment.awaitReady()
                measure(deployment, workDirectory)
            }
        }
    }

    private fun measure(deployment: Deployment, workDirectory: Path) {
        val directUrl = deployment.endpoints.single().endpointUrl
        val entryUrl = deployment.entries.single().url
        repeat(rounds + 1) { round ->
            val direct = sendLoad(deployment, workDirectory, "direct-$round", directUrl)
            val proxied = sendLoad(deployment, workDirectory, "through-$round", entryUrl)
            val label = if (round == 0) "warm-up" else "round $round"
            val addedAtMedian = proxied.duration.p50 - direct.duration.p50
            val addedAtP99 = proxied.duration.p99 - direct.duration.p99
            println("$label: direct ${format(direct)}; through entry instance and sidecar ${format(proxied)}")
            println(
                "$label: added %.2f ms at the median, %.2f ms at p99".format(Locale.ROOT, addedAtMedian, addedAtP99),
            )
        }
    }

    /** Sends the load to [target] with the operator command line and reads its result file. */
    private fun sendLoad(deployment: Deployment, workDirectory: Path, prefix: String, target: String): Total {
        val file = workDirectory.resolve("$prefix.json")
        val files = arrayOf("--mix", mix, "--result", file.toString())
        val result = deployment.runOperatorCommand("load", "--quiet", "--prefix", prefix, "--target", target, *files)
        check(result.exitCode == 0) { result.output }
        return standInJson.decodeFromString<Result>(Files.readString(file)).total
    }

    private fun format(total: Total) = "p50 %.2f p95 %.2f p99 %.2f ms, %d of %d answered".format(
        Locale.ROOT,
        total.duration.p50,
        total.duration.p95,
        total.duration.p99,
        total.answered,
        total.sent,
    )

    private companion object {
        val PLAN = deploymentPlan("frost-fleece") {
            zones = listOf("cairo-a")
            entryInstances = 1
            optimizesForSpeed = true
            applications("order-app", count = 1)
        }
    }
}
