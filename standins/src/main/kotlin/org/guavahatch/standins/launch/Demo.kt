package org.guavahatch.standins.launch

import kotlinx.serialization.Serializable
import org.guavahatch.standins.web.standInJson
import java.nio.file.Files
import java.nio.file.Path

/** What the demo counted. */
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

/** Starts one deployment, sends its example's load, and stops it. */
internal class Demo(private val plan: DeploymentPlan, private val example: Path, private val work: Path) {
    private val name = plan.name

    @Serializable
    private data class Totals(val sent: Int, val answered: Int, val notRun: Int, val unknown: Int)

    @Serializable
    private data class Wrong(val name: String)

    @Serializable
    private data class Result(val total: Totals, val wrong: List<Wrong>)

    fun run(isKept: Boolean): DemoSummary {
        println("demo: $name: starting ${plan.entryInstances} entry instances and ${plan.endpoints.size} endpoints")
        val directory = Files.createDirectories(work.resolve(name))
        val platform = PlatformProcess.start(directory)
        val deployment = Deployment.start(plan, platform, directory)
        val published = deployment.publish(example.resolve("configuration.jsonc"))
        check(published.exitCode == 0) { "The configuration was not accepted: ${published.output}" }
        deployment.awaitReady()
        val resultFile = directory.resolve("result.json")
        val load = deployment.operate(*loadArguments(deployment, resultFile))
        println(load.output.trim().prependIndent("  "))
        val result = standInJson.decodeFromString<Result>(Files.readString(resultFile))
        val isStopped = if (isKept) keep(deployment, platform) else stop(deployment, platform)
        val total = result.total
        return DemoSummary(total.sent, total.answered, total.notRun, total.unknown, result.wrong.size, isStopped)
    }

    private fun keep(deployment: Deployment, platform: PlatformProcess): Boolean {
        val processes = deployment.entries.map { it.adminUrl } + deployment.endpoints.map { it.adminUrl }
        println("demo: $name: kept running; platform ${platform.url}")
        println("demo: $name: callers ${deployment.entries.joinToString(" ") { it.url }}")
        println("demo: $name: processes ${processes.joinToString(" ")}")
        return true
    }

    private fun stop(deployment: Deployment, platform: PlatformProcess): Boolean {
        val isGraceful = deployment.stopGracefully()
        if (!isGraceful) println("demo: $name: a process did not stop gracefully")
        platform.close()
        return isGraceful
    }

    private fun loadArguments(deployment: Deployment, resultFile: Path): Array<String> {
        val targets = deployment.entries.flatMap { listOf("--target", it.url) }
        val records = deployment.endpoints.flatMap { listOf("--records", it.endpointUrl) }
        val files = listOf("--mix", example.resolve("mix.jsonc").toString(), "--result", resultFile.toString())
        return (listOf("load", "--quiet", "--prefix", name) + files + targets + records).toTypedArray()
    }
}
