package org.guavahatch.cli.load

import kotlinx.serialization.Serializable

/**
 * Quantiles of a time in milliseconds.
 *
 * @property count observations
 */
@Serializable
internal data class Quantiles(val count: Long, val p50: Double, val p95: Double, val p99: Double, val maximum: Double)

/**
 * Results of one group of requests.
 *
 * @property name name of the tier or of the kind
 * @property sent requests sent
 * @property answered requests answered whole
 * @property good requests answered whole before their deadline
 * @property notRun requests of which the caller was told that they were not run
 * @property unknown requests of which the outcome is not known
 * @property refused requests refused with an error
 * @property duration time to the end of answers, from the planned start
 * @property firstToken time to the first token, from the planned start
 * @property tokenGap time between tokens
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
 * Requests of one tier that were to start in one second.
 *
 * @property second time since the start
 * @property tier name of the tier
 * @property kind name of the kind of request
 * @property sent requests sent
 * @property good requests answered whole before their deadline
 */
@Serializable
internal data class SecondResult(val second: Int, val tier: String, val kind: String, val sent: Int, val good: Int)

/**
 * Result of a load.
 *
 * @property seed seed of the mix
 * @property seconds length of the load
 * @property total results of all requests
 * @property tiers results by tier
 * @property kinds results by kind of request
 * @property reasons how often each reason was told
 * @property timeline results by second, tier and kind
 * @property wrong broken promises
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
