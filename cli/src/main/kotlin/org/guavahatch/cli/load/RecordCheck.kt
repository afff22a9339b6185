package org.guavahatch.cli.load

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.guavahatch.coordination.http.SingleTryClient

/**
 * What a stand-in did for a request.
 *
 * @property name the caller's name for the request
 * @property executions how often its work was begun
 * @property answerHash SHA-256 of the whole answer's content, empty if there was none
 */
@Serializable
internal data class StandInRecord(val name: String, val executions: Int, val answerHash: String)

/**
 * A promise that was broken.
 *
 * @property name the request
 * @property kind kind of the request
 * @property detail what is wrong, as a sentence
 */
@Serializable
internal data class WrongAnswer(val name: String, val kind: String, val detail: String)

/** Compares what callers learned with what the stand-ins say they did. */
internal object RecordCheck {
    private const val TRIES = 20
    private const val MAXIMUM_CONNECTIONS = 16
    private const val CONNECT_MILLISECONDS = 1000L
    private const val PAUSE_MILLISECONDS = 200L
    private val json = Json { ignoreUnknownKeys = true }

    /** Fetches the records of all stand-ins at [urls]; those that are not there any more are left out. */
    suspend fun fetch(urls: List<String>): List<StandInRecord> =
        SingleTryClient.create(MAXIMUM_CONNECTIONS, CONNECT_MILLISECONDS).use { client ->
            urls.flatMap { url -> fetch(client, url) }
        }

    private suspend fun fetch(client: HttpClient, url: String): List<StandInRecord> {
        repeat(TRIES) {
            try {
                return json.decodeFromString(client.get("$url/records").bodyAsText())
            } catch (exception: CancellationException) {
                throw exception
            } catch (_: Exception) {
                delay(PAUSE_MILLISECONDS)
            }
        }
        System.err.println("guavahatch load: no records from $url")
        return emptyList()
    }

    /** Everything that contradicts a promise. */
    fun check(measurements: List<Measurement>, records: List<StandInRecord>): List<WrongAnswer> {
        val byName = records.groupBy { it.name }
        return measurements.flatMap { measurement ->
            check(measurement, byName[measurement.planned.name].orEmpty()).map { detail ->
                WrongAnswer(measurement.planned.name, measurement.planned.kind.name, detail)
            }
        }
    }

    private fun check(measurement: Measurement, records: List<StandInRecord>): List<String> {
        val executions = records.sumOf { it.executions }
        val given = records.map { it.answerHash }.filter { it.isNotEmpty() }
        val isAnswered = measurement.outcome == ObservedOutcome.ANSWERED
        return listOfNotNull(
            "It was run $executions times.".takeIf { measurement.planned.kind.isAtMostOnce && executions > 1 },
            "The caller was told that it was not run, and it was run $executions times."
                .takeIf { measurement.outcome == ObservedOutcome.NOT_RUN && executions > 0 },
            "The caller's answer is not what the endpoint gave."
                .takeIf { isAnswered && measurement.contentHash !in given },
        )
    }
}
