package org.guavahatch.cli.command

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.guavahatch.coordination.http.SingleAttemptClient
import org.kohsuke.args4j.Argument

/** Prints the readiness, the applied configuration, and the requests and peers of processes. */
internal class StatusCommand : Command {
    @Argument(required = true, multiValued = true, metaVar = "URL...", usage = "admin addresses of processes")
    private var urls: MutableList<String> = ArrayList()

    @Serializable
    private data class Status(
        val name: String,
        val role: String,
        val incarnation: String,
        val isReady: Boolean,
        val configuration: Long,
        val contentHash: String,
        val requests: Int,
        val peers: List<String>,
    )

    override fun run(): Int = SingleAttemptClient.create(MAXIMUM_CONNECTIONS, TIMEOUT_MILLISECONDS).use { client ->
        val reached = runBlocking { urls.map { show(client, it) } }
        if (reached.all { it }) Command.EXIT_OK else Command.EXIT_UNAVAILABLE
    }

    private suspend fun show(client: HttpClient, url: String): Boolean = try {
        val text = withTimeout(TIMEOUT_MILLISECONDS) { client.get("$url/status").bodyAsText() }
        print(json.decodeFromString<Status>(text))
        true
    } catch (exception: Exception) {
        println("$url: not reached: ${exception.javaClass.simpleName}")
        false
    }

    private fun print(status: Status) {
        val ready = if (status.isReady) "ready" else "not ready"
        val version = "${status.configuration}/${status.contentHash.take(SHORT_HASH_LENGTH)}"
        println(
            "${status.name}  ${status.role}  $ready  configuration $version  " +
                "${status.requests} requests  ${status.peers.size} peers  ${status.incarnation}",
        )
    }

    private companion object {
        const val TIMEOUT_MILLISECONDS = 2000L
        const val MAXIMUM_CONNECTIONS = 16
        const val SHORT_HASH_LENGTH = 12
        val json = Json { ignoreUnknownKeys = true }
    }
}
