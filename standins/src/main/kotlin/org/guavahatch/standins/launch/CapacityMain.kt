package org.guavahatch.standins.launch

import org.guavahatch.standins.StandIn
import org.kohsuke.args4j.Option
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration
import java.util.Locale

/**
 * Measures what idle connections between processes cost: processor time and memory of an entry instance as sidecars are
 * added, and of a sidecar as entry instances are added. Fits a line to each, and prints it with its largest residual.
 */
internal class CapacityMain : StandIn {
    @Option(name = "--configuration", required = true, usage = "configuration of the deployment frost-fleece")
    private var configuration = ""

    @Option(name = "--directory", required = true, usage = "directory for settings and logs")
    private var directory = ""

    @Option(name = "--seconds", usage = "how long each size is measured")
    private var seconds = 15L

    /**
     * What one size cost.
     *
     * @property peers connections of the measured process
     * @property corePercent processor time as a share of one core
     * @property residentMegabytes resident memory
     */
    private data class Sample(val peers: Int, val corePercent: Double, val residentMegabytes: Double)

    override fun run() {
        val entrySamples = SIDECARS.map { count -> measure(1, count) { it.entries.first().process } }
        report("entry instance, by sidecars", entrySamples)
        val sidecarSamples = ENTRIES.map { count -> measure(count, 1) { it.endpoints.first().sidecar } }
        report("sidecar, by entry instances", sidecarSamples)
    }

    private fun measure(entryCount: Int, sidecarCount: Int, target: (Deployment) -> ManagedProcess): Sample {
        val plan = deploymentPlan("frost-fleece") {
            zones = listOf("cairo-a")
            entryInstances = entryCount
            applications("order-app", sidecarCount)
        }
        val work = Files.createDirectories(Path.of(directory, "$entryCount-$sidecarCount"))
        return PlatformProcess.start(work).use { platform ->
            Deployment.start(plan, platform, work).use { deployment ->
                check(deployment.publish(Path.of(configuration)).exitCode == 0)
                deployment.awaitReady()
                Thread.sleep(SETTLE_MILLISECONDS)
                sample(maxOf(entryCount, sidecarCount), target(deployment))
            }
        }
    }

    private fun sample(peers: Int, process: ManagedProcess): Sample {
        val before = process.processorTime()
        Thread.sleep(Duration.ofSeconds(seconds).toMillis())
        val spent = process.processorTime() - before
        val sample = Sample(peers, PERCENT * spent.toMillis() / (seconds * MILLISECONDS), process.residentMegabytes())
        println("  $sample")
        return sample
    }

    private fun report(label: String, samples: List<Sample>) {
        println("$label:")
        printLine("processor, % of a core", samples.map { it.peers.toDouble() to it.corePercent })
        printLine("resident memory, MB", samples.map { it.peers.toDouble() to it.residentMegabytes })
    }

    /** Prints the line of least squares through [points]. */
    private fun printLine(label: String, points: List<Pair<Double, Double>>) {
        val meanX = points.sumOf { it.first } / points.size
        val meanY = points.sumOf { it.second } / points.size
        val slope = points.sumOf { (it.first - meanX) * (it.second - meanY) } /
            points.sumOf { (it.first - meanX) * (it.first - meanX) }
        val start = meanY - slope * meanX
        val residual = points.maxOf { kotlin.math.abs(it.second - start - slope * it.first) }
        println("  %s: %.3f + %.4f a peer, largest residual %.3f".format(Locale.ROOT, label, start, slope, residual))
    }

    private companion object {
        val SIDECARS = listOf(2, 8, 16, 32)
        val ENTRIES = listOf(1, 4, 8, 16)
        const val SETTLE_MILLISECONDS = 15_000L
        const val PERCENT = 100.0
        const val MILLISECONDS = 1000.0
    }
}
