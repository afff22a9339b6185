package org.guavahatch.cli.process

import kotlinx.serialization.json.Json
import org.guavahatch.cli.load.LoadResult
import org.guavahatch.standins.launch.Deployment
import org.guavahatch.standins.launch.DeploymentPlanBuilder
import org.guavahatch.standins.launch.LocalHttp
import org.guavahatch.standins.launch.PlatformProcess
import org.guavahatch.standins.launch.deploymentPlan
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture

/** A small deployment of the "frost-fleece" example, with each component in a separate process, for one test class. */
internal class FrostFleece(configure: DeploymentPlanBuilder.() -> Unit = {}) : AutoCloseable {
    private val directory: Path = Files.createTempDirectory("guavahatch-test")
    val platform = PlatformProcess.start(directory)
    val deployment: Deployment

    init {
        val plan = deploymentPlan("frost-fleece") {
            zones = listOf("cairo-a", "cairo-b", "cairo-c")
            engines("model-desk", 1.0, 1.4)
            applications("order-app", count = 2)
            configure()
        }
        deployment = Deployment.start(plan, platform, directory)
        // The command gives up a call after 5 s, which passed while the other processes started on a busy machine.
        deployment.awaitStarted()
        val published = deployment.publish(CONFIGURATION)
        check(published.exitCode == 0) { published.output }
        deployment.awaitReady()
    }

    /** Sends the load of `mix.jsonc` in the background. */
    fun startLoad(prefix: String): CompletableFuture<LoadResult> = CompletableFuture.supplyAsync {
        val file = directory.resolve("$prefix.json")
        val targets = deployment.entries.flatMap { listOf("--target", it.url) }
        val records = deployment.endpoints.flatMap { listOf("--records", it.endpointUrl) }
        val mix = Path.of("src/test/resources/mix.jsonc").toString()
        val arguments = listOf("load", "--quiet", "--mix", mix, "--prefix", prefix, "--result", file.toString())
        val result = deployment.runOperatorCommand(*(arguments + targets + records).toTypedArray())
        check(Files.exists(file)) { result.output }
        json.decodeFromString(Files.readString(file))
    }

    /** Places an order with the idempotency key [key] through the entry instance with [index]. */
    fun placeOrder(key: String, index: Int = 0, deadlineMilliseconds: Int = 5000): HttpResponse<String> =
        LocalHttp.post(
            "${deployment.entries[index].url}/orders",
            """{"article":"fleece"}""",
            "Authorization",
            "Bearer frost-key-tills",
            "Idempotency-Key",
            key,
            "guavahatch-deadline-ms",
            deadlineMilliseconds.toString(),
        )

    /** Number of executions of the order with [key], summed over all endpoints. */
    fun executions(key: String): Int = deployment.endpointsOf("order-app").sumOf { endpoint ->
        val records = json.decodeFromString<List<Record>>(LocalHttp.get("${endpoint.endpointUrl}/records").body())
        records.filter { it.name == key }.sumOf { it.executions }
    }

    @kotlinx.serialization.Serializable
    private data class Record(val name: String, val executions: Int, val answerHash: String)

    override fun close() {
        deployment.close()
        platform.close()
        directory.toFile().deleteRecursively()
    }

    internal companion object {
        val CONFIGURATION: Path = Path.of("../examples/frost-fleece/configuration.jsonc")
        private val json = Json { ignoreUnknownKeys = true }
    }
}

/** Value of the response header [name], or an empty string. */
internal fun HttpResponse<String>.header(name: String): String = headers().firstValue(name).orElse("")

/** Waits up to [milliseconds] until [condition] holds, and returns whether it does. */
internal fun awaitTrue(milliseconds: Long, condition: () -> Boolean): Boolean {
    val deadline = System.nanoTime() + milliseconds * 1_000_000
    while (!condition()) {
        if (System.nanoTime() > deadline) return false
        Thread.sleep(20)
    }
    return true
}
