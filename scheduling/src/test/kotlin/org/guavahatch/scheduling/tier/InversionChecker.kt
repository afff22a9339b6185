package org.guavahatch.scheduling.tier

import org.guavahatch.model.identity.RequestId

/** What a record of a decision tells the checker. Ranks: 0 is the highest tier. */
internal sealed interface TierRecord {
    val requestId: RequestId
    val rank: Int
    val atMs: Long

    /** The request was accepted. */
    data class Accepted(override val requestId: RequestId, override val rank: Int, override val atMs: Long) : TierRecord

    /** An endpoint began to serve the request. */
    data class Started(override val requestId: RequestId, override val rank: Int, override val atMs: Long) : TierRecord

    /** The request's caller was told that it was not run. */
    data class Shed(override val requestId: RequestId, override val rank: Int, override val atMs: Long) : TierRecord
}

/**
 * An inversion: [shed] waited in vain while [served], of a lower tier, was started.
 */
internal data class Inversion(val shed: TierRecord.Shed, val served: TierRecord.Started)

/**
 * Finds inversions in the records of all processes together, without the code that decides. A lower request counts as
 * served in place of a shed one if it was started in the time in which the shed one waited, less [spreadMs] at the
 * start, in which the news of a request spreads over the pool.
 */
internal class InversionChecker(private val spreadMs: Long) {
    fun inversions(records: List<TierRecord>): List<Inversion> {
        val accepted = records.filterIsInstance<TierRecord.Accepted>().associateBy { it.requestId }
        val starts = records.filterIsInstance<TierRecord.Started>()
        return records.filterIsInstance<TierRecord.Shed>().flatMap { shed ->
            val from = accepted.getValue(shed.requestId).atMs + spreadMs
            starts.filter { it.rank > shed.rank && it.atMs > from && it.atMs <= shed.atMs }.map { Inversion(shed, it) }
        }
    }
}
