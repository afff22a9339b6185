package org.guavahatch.standins.launch

import org.guavahatch.standins.Subcommand
import org.kohsuke.args4j.Option
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration
import java.util.Locale

/**
 * Subcommand `capacity`: measures the cost of idle connections between processes. Records CPU time and resident
 * memory of an entry instance as sidecars are added, and of a sidecar as entry instances are added. Prints a linear
 * fit for each with its largest residual.
 */
internal class CapacityMain : Subcommand {
    @Option(name = "--configuration", required = true, usage = "configuration of the deployment frost-fleece")
    private var configuration = ""

    @Option(name = "--directory", required = true, usage = "directory for settings and logs")
    private var directory = ""

    @Option(name = "--seconds", usage = "duration of the measurement of each deployment size")
    private var seconds = 15L

    /**
     * Measurement of one deployment size, printed with its generated `toString`.
     *
     * @property peers number of connections of the measured process
     * @property corePercent CPU time as a percentage of one core
     * @property residentMegabytes resident memory
     */
    private data class Sample(val peers: Int, val corePercent: Double, val residentMegabytes: Double)

    override fun run() {
        val entrySamples = SIDECAR_COUNTS.map { count -> measure(1, count) { it.entries.first().process } }
        report("entry instance, by sidecars", entrySamples)
        val sidecarSamples = ENTRY_INSTANCE_COUNTS.map { count -> measure(count, 1) { it.endpoints.first().sidecar } }
        report("sidecar, by entry instances", sidecarSamples)
    }

    /** Starts a deployment of the given size and samples the process that [target] selects. */
    private fun measure(entryCount: Int, sidecarCount: Int, target: (Deployment) -> ManagedProcess): Sample {
        val plan = deploymentPlan("frost-fleece") {
            zones = listOf("cairo-a")
            entryInstances = entryCount
            applications("order-app", sidecarCount)
        }
        val workDirectory = Files.createDirectories(Path.of(directory, "$entryCount-$sidecarCount"))
        return PlatformProcess.start(workDirectory).use { platform ->
            Deployment.start(plan, platform, workDirectory).use { deployment ->
                check(deployment.publish(Path.of(configuration)).exitCode == 0)
                deployment.awaitReady()
                Thread.sleep(SETTLE_MILLISECONDS)
                sample(maxOf(entryCount, sidecarCount), target(deployment))
            }
        }
    }

    private fun sample(peers: Int, process: ManagedProcess): Sample {
        val timeBefore = process.cpuTime()
        Thread.sleep(Duration.ofSeconds(seconds).toMillis())
        val spentTime = process.cpuTime() - timeBefore
        val sample =
            Sample(
                peers,
                PERCENT * spentTime.toMillis() / (seconds * MILLISECONDS_PER_SECOND),
                process.residentMegabytes(),
            )
        println("  $sample")
        return sample
    }

    private fun report(label: String, samples: List<Sample>) {
        println("$label:")
        printLinearFit("processor, % of a core", samples.map { it.peers.toDouble() to it.corePercent })
        printLinearFit("resident memory, MB", samples.map { it.peers.toDouble() to it.residentMegabytes })
    }

    /** Prints the least-squares line through [points]. */
    private fun printLinearFit(label: String, points: List<Pair<Double, Double>>) {
        val meanX = points.sumOf { it.first } / points.size
        val meanY = points.sumOf { it.second } / points.size
        val slope = points.sumOf { (it.first - meanX) * (it.second - meanY) } /
            points.sumOf { (it.first - meanX) * (it.first - meanX) }
        val intercept = meanY - slope * meanX
        val residual = points.maxOf { kotlin.math.abs(it.second - intercept - slope * it.first) }
        println(
            "  %s: %.3f + %.4f a peer, largest residual %.3f".format(Locale.ROOT, label, intercept, slope, residual),
        )
    }

    private companion object {
        val SIDECAR_COUNTS = listOf(2, 8, 16, 32)
        val ENTRY_INSTANCE_COUNTS = listOf(1, 4, 8, 16)
        const val SETTLE_MILLISECONDS = 15_000L
        const val PERCENT = 100.0
        const val MILLISECONDS_PER_SECOND = 1000.0
    }
}
