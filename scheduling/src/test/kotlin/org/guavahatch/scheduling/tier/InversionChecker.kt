package org.guavahatch.scheduling.tier

import org.guavahatch.model.identity.RequestId

/** A recorded scheduling decision about one request. Rank 0 is the highest tier. */
internal sealed interface TierRecord {
    val requestId: RequestId
    val rank: Int
    val atMilliseconds: Long

    /** An entry instance accepted the request. */
    data class Accepted(override val requestId: RequestId, override val rank: Int, override val atMilliseconds: Long) :
        TierRecord

    /** An endpoint started the request. */
    data class Started(override val requestId: RequestId, override val rank: Int, override val atMilliseconds: Long) :
        TierRecord

    /** The caller was told that the request was not run. */
    data class Shed(override val requestId: RequestId, override val rank: Int, override val atMilliseconds: Long) :
        TierRecord
}

/** A priority inversion: [shed] was not run although [served], of a lower tier, was started while it waited. */
internal data class Inversion(val shed: TierRecord.Shed, val served: TierRecord.Started)

/**
 * Finds priority inversions in the records of all processes, independently of the scheduling code. A request of a lower
 * tier counts as served in place of a shed one if it was started while the shed one waited. The first
 * [propagationMilliseconds] of the wait do not count, because the endpoints of the pool do not all know the request
 * yet.
 */
internal class InversionChecker(private val propagationMilliseconds: Long) {
    fun inversions(records: List<TierRecord>): List<Inversion> {
        val accepted = records.filterIsInstance<TierRecord.Accepted>().associateBy { it.requestId }
        val starts = records.filterIsInstance<TierRecord.Started>()
        return records.filterIsInstance<TierRecord.Shed>().flatMap { shed ->
            val from = accepted.getValue(shed.requestId).atMilliseconds + propagationMilliseconds
            starts.filter {
                it.rank > shed.rank && it.atMilliseconds > from && it.atMilliseconds <= shed.atMilliseconds
            }.map { Inversion(shed, it) }
        }
    }
}
