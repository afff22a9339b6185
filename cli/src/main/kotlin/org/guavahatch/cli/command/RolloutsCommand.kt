package org.guavahatch.cli.command

import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.guavahatch.coordination.http.SingleAttemptClient
import org.kohsuke.args4j.Option

/** Prints the rollouts of a gateway: their phase, and the answers that this gateway has seen. */
internal class RolloutsCommand : Command {
    @Option(name = "--gateway", required = true, metaVar = "URL", usage = "control address of a gateway")
    private var gateway: String = ""

    @Serializable
    private data class Rollout(
        val pool: String,
        val to: String,
        val revision: Long,
        val milliseconds: Long,
        val phase: String,
        val reason: String = "",
        val stored: Boolean = false,
        val openOnPrevious: Int = 0,
        val answers: List<Answers> = emptyList(),
    )

    @Serializable
    private data class Answers(
        val route: String,
        val side: String,
        val answers: Long,
        val failures: Long,
        val lost: Long,
    )

    override fun run(): Int = try {
        val rollouts = json.decodeFromString<List<Rollout>>(fetch())
        if (rollouts.isEmpty()) println("no rollout")
        rollouts.sortedBy { it.pool }.forEach(::print)
        Command.EXIT_OK
    } catch (exception: Exception) {
        System.err.println("guavahatch: GET $url: ${exception.javaClass.simpleName}: ${exception.message}")
        Command.EXIT_UNAVAILABLE
    }

    private val url: String
        get() = (if ("://" in gateway) gateway else "http://$gateway").removeSuffix("/") + "/rollouts"

    private fun fetch(): String = SingleAttemptClient.create(1, TIMEOUT_MILLISECONDS).use { client ->
        runBlocking {
            withTimeout(TIMEOUT_MILLISECONDS) {
                val response = client.get(url)
                check(response.status.value == OK) { "status ${response.status.value}" }
                response.bodyAsText()
            }
        }
    }

    private fun print(rollout: Rollout) {
        val reason = if (rollout.reason.isEmpty()) "" else " (${rollout.reason})"
        val stored = if (rollout.stored) "stored" else "not stored as ended"
        println(
            "${rollout.pool}  to ${rollout.to}  ${rollout.phase}$reason  $stored  " +
                "time limit ${rollout.milliseconds} ms  order ${rollout.revision}  " +
                "${rollout.openOnPrevious} open on the old version",
        )
        rollout.answers.sortedWith(compareBy({ it.route }, { it.side })).forEach {
            println("  ${it.route}  ${it.side}  ${it.answers} answers  ${it.failures} failures  ${it.lost} lost")
        }
    }

    private companion object {
        const val TIMEOUT_MILLISECONDS = 2_000L
        const val OK = 200
        val json = Json { ignoreUnknownKeys = true }
    }
}
