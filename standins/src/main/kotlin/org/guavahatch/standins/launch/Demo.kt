package org.guavahatch.standins.launch

import kotlinx.serialization.Serializable
import org.guavahatch.standins.web.standInJson
import java.nio.file.Files
import java.nio.file.Path

/**
 * Result of a demo.
 *
 * @property sent number of requests sent
 * @property answered number of requests with the outcome answered
 * @property notRun number of requests with the outcome not run
 * @property unknown number of requests with the outcome unknown
 * @property wrong number of entries that the load generator lists as wrong
 * @property isStoppedGracefully whether all entry instances and sidecars stopped without being killed; also true if
 * they were left running
 */
internal data class DemoSummary(
    val sent: Int,
    val answered: Int,
    val notRun: Int,
    val unknown: Int,
    val wrong: Int,
    val isStoppedGracefully: Boolean,
) {
    operator fun plus(other: DemoSummary) = DemoSummary(
        sent + other.sent,
        answered + other.answered,
        notRun + other.notRun,
        unknown + other.unknown,
        wrong + other.wrong,
        isStoppedGracefully && other.isStoppedGracefully,
    )

    override fun toString() = "$sent sent, $answered answered, $notRun not run, $unknown unknown, $wrong wrong"
}

/**
 * Demo of one deployment: starts its processes, sends the load of its example and, unless told otherwise, stops them.
 *
 * @property plan deployment to start
 * @property example directory with the files `configuration.jsonc` and `mix.jsonc`
 * @property workDirectory directory under which settings, logs and the result are written
 */
internal class Demo(private val plan: DeploymentPlan, private val example: Path, private val workDirectory: Path) {
    private val name = plan.name

    // Fields of the result file of the operator subcommand `load` that the demo reads.
    @Serializable
    private data class Totals(val sent: Int, val answered: Int, val notRun: Int, val unknown: Int)

    @Serializable
    private data class Wrong(val name: String)

    @Serializable
    private data class Result(val total: Totals, val wrong: List<Wrong>)

    /** Runs the demo; the processes are left running if [keepRunning]. */
    fun run(keepRunning: Boolean): DemoSummary {
        println("demo: $name: starting ${plan.entryInstances} entry instances and ${plan.endpoints.size} endpoints")
        val directory = Files.createDirectories(workDirectory.resolve(name))
        val platform = PlatformProcess.start(directory)
        val deployment = Deployment.start(plan, platform, directory)
        val published = deployment.publish(example.resolve("configuration.jsonc"))
        check(published.exitCode == 0) { "The configuration was not accepted: ${published.output}" }
        deployment.awaitReady()
        val resultFile = directory.resolve("result.json")
        val load = deployment.runOperatorCommand(*loadArguments(deployment, resultFile))
        println(load.output.trim().prependIndent("  "))
        val result = standInJson.decodeFromString<Result>(Files.readString(resultFile))
        val isStopped = if (keepRunning) reportRunning(deployment, platform) else stop(deployment, platform)
        val total = result.total
        return DemoSummary(total.sent, total.answered, total.notRun, total.unknown, result.wrong.size, isStopped)
    }

    /** Prints the addresses of the processes that are left running. */
    private fun reportRunning(deployment: Deployment, platform: PlatformProcess): Boolean {
        val adminUrls = deployment.entries.map { it.adminUrl } + deployment.endpoints.map { it.adminUrl }
        println("demo: $name: kept running; platform ${platform.url}")
        println("demo: $name: callers ${deployment.entries.joinToString(" ") { it.url }}")
        println("demo: $name: processes ${adminUrls.joinToString(" ")}")
        return true
    }

    private fun stop(deployment: Deployment, platform: PlatformProcess): Boolean {
        val isGraceful = deployment.stopGracefully()
        if (!isGraceful) println("demo: $name: a process did not stop gracefully")
        platform.close()
        return isGraceful
    }

    /** Arguments of the operator subcommand `load` that sends the mix of the example to all entry instances. */
    private fun loadArguments(deployment: Deployment, resultFile: Path): Array<String> {
        val targets = deployment.entries.flatMap { listOf("--target", it.url) }
        val records = deployment.endpoints.flatMap { listOf("--records", it.endpointUrl) }
        val files = listOf("--mix", example.resolve("mix.jsonc").toString(), "--result", resultFile.toString())
        return (listOf("load", "--quiet", "--prefix", name) + files + targets + records).toTypedArray()
    }
}
