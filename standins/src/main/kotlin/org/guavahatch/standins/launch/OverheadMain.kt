package org.guavahatch.standins.launch

import kotlinx.serialization.Serializable
import org.guavahatch.standins.StandIn
import org.guavahatch.standins.web.standInJson
import org.kohsuke.args4j.Option
import java.nio.file.Files
import java.nio.file.Path
import java.util.Locale

/**
 * Measures the latency that one entry instance and one sidecar add to a call, against direct calls of the same stand-in
 * in the same run, in turns.
 */
internal class OverheadMain : StandIn {
    @Option(name = "--configuration", required = true, usage = "configuration of the deployment frost-fleece")
    private var configuration = ""

    @Option(name = "--mix", required = true, usage = "load of stock lookups")
    private var mix = ""

    @Option(name = "--directory", required = true, usage = "directory for settings, logs and results")
    private var directory = ""

    @Option(name = "--rounds", usage = "how often each way is measured, after one round that does not count")
    private var rounds = 3

    @Serializable
    private data class Times(val count: Long, val p50: Double, val p95: Double, val p99: Double)

    @Serializable
    private data class Total(val sent: Int, val answered: Int, val duration: Times)

    @Serializable
    private data class Result(val total: Total)

    override fun run() {
        val work = Files.createDirectories(Path.of(directory))
        PlatformProcess.start(work).use { platform ->
            Deployment.start(PLAN, platform, work).use { deployment ->
                val published = deployment.publish(Path.of(configuration))
                check(published.exitCode == 0) { published.output }
                deployment.awaitReady()
                measure(deployment, work)
            }
        }
    }

    private fun measure(deployment: Deployment, work: Path) {
        val direct = deployment.endpoints.single().endpointUrl
        val through = deployment.entries.single().url
        repeat(rounds + 1) { round ->
            val without = load(deployment, work, "direct-$round", direct)
            val with = load(deployment, work, "through-$round", through)
            val label = if (round == 0) "warm-up" else "round $round"
            val atMedian = with.duration.p50 - without.duration.p50
            val atTail = with.duration.p99 - without.duration.p99
            println("$label: direct ${format(without)}; through entry instance and sidecar ${format(with)}")
            println("$label: added %.2f ms at the median, %.2f ms at p99".format(Locale.ROOT, atMedian, atTail))
        }
    }

    private fun load(deployment: Deployment, work: Path, prefix: String, target: String): Total {
        val file = work.resolve("$prefix.json")
        val files = arrayOf("--mix", mix, "--result", file.toString())
        val result = deployment.operate("load", "--quiet", "--prefix", prefix, "--target", target, *files)
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
            isMeasured = true
            applications("order-app", count = 1)
        }
    }
}
