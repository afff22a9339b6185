package org.guavahatch.cli.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.guavahatch.model.check.ProblemCollector

/**
 * The requests of a load: when they arrive and what they ask for.
 *
 * @property seed seed of the random numbers; the same seed gives the same requests at the same times; default 1
 * @property warmUpSeconds time from the start in which requests are sent but not included in the result; default 0
 * @property arrivals points of the rate curve in ascending order of time; the load ends at the last one; at least two
 * @property requests kinds of requests; at least one
 */
@Serializable
internal data class LoadMix(
    val seed: Long = 1,
    val warmUpSeconds: Double = 0.0,
    val arrivals: List<RatePoint>,
    val requests: List<RequestKind>,
) {
    /** Adds every invalid value to [problems]. */
    fun check(problems: ProblemCollector) {
        problems.require(arrivals.size >= 2, "$.arrivals", "${arrivals.size} points") { "At least two are required." }
        arrivals.zipWithNext().forEachIndexed { index, (first, second) ->
            problems.require(
                first.atSeconds < second.atSeconds,
                "$.arrivals[${index + 1}].atSeconds",
                second.atSeconds,
            ) {
                "Times must be strictly ascending."
            }
        }
        problems.require(requests.isNotEmpty(), "$.requests", "[]") { "At least one is required." }
        requests.forEachIndexed { index, kind ->
            problems.require(kind.weight > 0, "$.requests[$index].weight", kind.weight) { "It must be greater than 0." }
            problems.requireRange("$.requests[$index].promptTokens", kind.promptTokens.toLong(), 0L..100_000L, "tokens")
        }
    }
}

/**
 * A point of the rate curve. Between two points, the rate is interpolated linearly.
 *
 * @property atSeconds time since the start of the load
 * @property perSecond mean arrival rate, in requests per second
 */
@Serializable
internal data class RatePoint(val atSeconds: Double, val perSecond: Double)

/** The type of operation that a request performs. */
@Serializable
internal enum class RequestShape {
    /** A chat completion with a streamed response. */
    @SerialName("chat-stream")
    CHAT_STREAM,

    /** A chat completion with a single response. */
    @SerialName("chat")
    CHAT,

    /** A write to an application, with an idempotency key. */
    @SerialName("change")
    CHANGE,

    /** A read from an application. */
    @SerialName("lookup")
    LOOKUP,
}

/**
 * A kind of request.
 *
 * @property name name in the results; also seeds the shared part of the prompts
 * @property weight relative frequency among the kinds
 * @property shape type of operation
 * @property path path of the URL; `{n}` is replaced by the number of the request
 * @property key client key
 * @property tier requested tier, or empty for the default tier of the route; default empty
 * @property deadlineMilliseconds deadline that is sent with the request; a later answer does not count as good
 * @property promptTokens mean length of the individual part of prompts; lengths are uniform between 0.5 and 1.5 times
 * the mean; default 50
 * @property sharedPromptTokens length of the prompt prefix that all requests of the kind share; default 0
 * @property maximumTokens maximum length of answers, sent as `max_tokens`; default 64
 * @property isAtMostOnce whether more than one execution is an error; default false
 */
@Serializable
internal data class RequestKind(
    val name: String,
    val weight: Double,
    val shape: RequestShape,
    val path: String,
    val key: String,
    val tier: String = "",
    val deadlineMilliseconds: Long,
    val promptTokens: Int = 50,
    val sharedPromptTokens: Int = 0,
    val maximumTokens: Int = 64,
    val isAtMostOnce: Boolean = false,
)
