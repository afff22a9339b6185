package org.guavahatch.cli.load

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.guavahatch.coordination.http.SingleAttemptClient

/**
 * The record that a stand-in keeps of a request.
 *
 * @property name name of the request, as planned by the caller
 * @property executions number of executions that were started
 * @property answerHash SHA-256 of the content of the complete answer, empty if there was none
 */
@Serializable
internal data class StandInRecord(val name: String, val executions: Int, val answerHash: String)

/**
 * An outcome that contradicts the records of the stand-ins.
 *
 * @property name name of the request
 * @property kind kind of the request
 * @property detail description of the contradiction, as a sentence
 */
@Serializable
internal data class WrongAnswer(val name: String, val kind: String, val detail: String)

/** Checks the outcomes that callers observed against the records of the stand-ins. */
internal object RecordCheck {
    private const val MAXIMUM_ATTEMPTS = 20
    private const val MAXIMUM_CONNECTIONS = 16
    private const val CONNECT_TIMEOUT_MILLISECONDS = 1000L
    private const val RETRY_DELAY_MILLISECONDS = 200L
    private val json = Json { ignoreUnknownKeys = true }

    /** Fetches the records of the stand-ins at [urls]. Reports and skips a stand-in that stays unavailable. */
    suspend fun fetch(urls: List<String>): List<StandInRecord> =
        SingleAttemptClient.create(MAXIMUM_CONNECTIONS, CONNECT_TIMEOUT_MILLISECONDS).use { client ->
            urls.flatMap { url -> fetch(client, url) }
        }

    private suspend fun fetch(client: HttpClient, url: String): List<StandInRecord> {
        repeat(MAXIMUM_ATTEMPTS) {
            try {
                return json.decodeFromString(client.get("$url/records").bodyAsText())
            } catch (exception: CancellationException) {
                throw exception
            } catch (_: Exception) {
                delay(RETRY_DELAY_MILLISECONDS)
            }
        }
        System.err.println("guavahatch load: no records from $url after $MAXIMUM_ATTEMPTS attempts")
        return emptyList()
    }

    /** Returns every outcome in [measurements] that contradicts [records]. */
    fun check(measurements: List<Measurement>, records: List<StandInRecord>): List<WrongAnswer> {
        val recordsByName = records.groupBy { it.name }
        return measurements.flatMap { measurement ->
            check(measurement, recordsByName[measurement.planned.name].orEmpty()).map { detail ->
                WrongAnswer(measurement.planned.name, measurement.planned.kind.name, detail)
            }
        }
    }

    private fun check(measurement: Measurement, records: List<StandInRecord>): List<String> {
        val executions = records.sumOf { it.executions }
        val recordedHashes = records.map { it.answerHash }.filter { it.isNotEmpty() }
        val isAnswered = measurement.outcome == ObservedOutcome.ANSWERED
        return listOfNotNull(
            "The request was run $executions times.".takeIf { measurement.planned.kind.isAtMostOnce && executions > 1 },
            "The request was reported as not run, but it was run $executions times."
                .takeIf { measurement.outcome == ObservedOutcome.NOT_RUN && executions > 0 },
            "The answer that the caller got differs from the answer of the endpoint."
                .takeIf { isAnswered && measurement.contentHash !in recordedHashes },
        )
    }
}
