package org.guavahatch.cli.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.guavahatch.model.check.ProblemCollector

/**
 * A load to be sent.
 *
 * @property seed start of the random numbers; the same seed gives the same requests at the same times, default 1
 * @property arrivals corners of the rate curve, in the order of their times; the last one ends the load; at least two
 * @property requests kinds of requests; at least one
 */
@Serializable
internal data class LoadMix(
    val seed: Long = 1,
    val warmUpSeconds: Double = 0.0,
    val arrivals: List<ArrivalCorner>,
    val requests: List<RequestKind>,
) {
    /** Reports everything that is wrong to [problems]. */
    fun check(problems: ProblemCollector) {
        problems.require(arrivals.size >= 2, "$.arrivals", "${arrivals.size} corners") { "At least two are needed." }
        arrivals.zipWithNext().forEachIndexed { index, (first, second) ->
            problems.require(
                first.atSeconds < second.atSeconds,
                "$.arrivals[${index + 1}].atSeconds",
                second.atSeconds,
            ) {
                "Times have to rise."
            }
        }
        problems.require(requests.isNotEmpty(), "$.requests", "[]") { "At least one is needed." }
        requests.forEachIndexed { index, kind ->
            problems.require(kind.weight > 0, "$.requests[$index].weight", kind.weight) { "It has to be above 0." }
            problems.requireRange("$.requests[$index].promptTokens", kind.promptTokens.toLong(), 0L..100_000L, "tokens")
        }
    }
}

/**
 * A corner of the rate curve; between corners the rate changes evenly.
 *
 * @property atSeconds time since the start
 * @property perSecond requests a second
 */
@Serializable
internal data class ArrivalCorner(val atSeconds: Double, val perSecond: Double)

/** What a request asks for. */
@Serializable
internal enum class RequestShape {
    /** A chat whose answer comes as a stream. */
    @SerialName("chat-stream")
    CHAT_STREAM,

    /** A chat whose answer comes whole. */
    @SerialName("chat")
    CHAT,

    /** A call that changes something, with an idempotency key. */
    @SerialName("change")
    CHANGE,

    /** A call that reads something. */
    @SerialName("lookup")
    LOOKUP,
}

/**
 * A kind of request.
 *
 * @property name name for the results
 * @property weight share among the kinds
 * @property shape what it asks for
 * @property path path of the call; `{n}` stands for a number that differs from request to request
 * @property key client key
 * @property tier tier that is asked for, or empty for the route's, default empty
 * @property deadlineMilliseconds deadline that is asked for and judged by
 * @property promptTokens mean length of prompts, default 50; lengths vary from half to one and a half of it
 * @property sharedPromptTokens length of the part at the start that requests of the kind have in common, default 0
 * @property maximumTokens largest length of answers, default 64
 * @property isAtMostOnce whether more than one execution breaks a promise, default false
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
