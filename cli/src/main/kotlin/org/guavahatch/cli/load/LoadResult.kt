package org.guavahatch.cli.load

import kotlinx.serialization.Serializable

/**
 * Quantiles of a duration in milliseconds.
 *
 * @property count number of observations
 */
@Serializable
internal data class Quantiles(val count: Long, val p50: Double, val p95: Double, val p99: Double, val maximum: Double)

/**
 * Results of one group of requests.
 *
 * @property name name of the tier or of the kind of request, or "all"
 * @property sent number of requests sent
 * @property answered requests with a complete answer
 * @property good requests with a complete answer before the deadline
 * @property notRun requests that were reported as not run
 * @property unknown requests with an unknown outcome, including those whose connection failed
 * @property refused requests that were rejected with an error status
 * @property duration time from the planned start to the end of the answer
 * @property firstToken time from the planned start to the first token
 * @property tokenGap time between consecutive tokens
 */
@Serializable
internal data class GroupResult(
    val name: String,
    val sent: Int,
    val answered: Int,
    val good: Int,
    val notRun: Int,
    val unknown: Int,
    val refused: Int,
    val duration: Quantiles,
    val firstToken: Quantiles,
    val tokenGap: Quantiles,
)

/**
 * Results of the requests of one tier and kind that were planned to start in the same second.
 *
 * @property second whole seconds from the start of the load to the planned start
 * @property tier name of the tier
 * @property kind name of the kind of request
 * @property sent number of requests sent
 * @property good requests with a complete answer before the deadline
 */
@Serializable
internal data class SecondResult(val second: Int, val tier: String, val kind: String, val sent: Int, val good: Int)

/**
 * The result of a load. Requests that were planned to start during the warm-up are not counted.
 *
 * @property seed seed of the mix
 * @property seconds duration of the load, including the warm-up
 * @property total results of all requests
 * @property tiers results by tier
 * @property kinds results by kind of request
 * @property reasons number of requests by outcome and reason, such as `not_run: queue-full`
 * @property timeline results by second, tier and kind
 * @property wrong outcomes that contradict the records of the stand-ins, including those of the warm-up
 */
@Serializable
internal data class LoadResult(
    val seed: Long,
    val seconds: Double,
    val total: GroupResult,
    val tiers: List<GroupResult>,
    val kinds: List<GroupResult>,
    val reasons: Map<String, Int>,
    val timeline: List<SecondResult>,
    val wrong: List<WrongAnswer>,
)
