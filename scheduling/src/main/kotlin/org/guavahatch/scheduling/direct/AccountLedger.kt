package org.guavahatch.scheduling.direct

import org.guavahatch.model.forwarding.AccountQuota
import org.guavahatch.model.forwarding.ForwardingAccount
import org.guavahatch.model.time.Clock

/**
 * Enforces the quotas of client accounts across all gateways with one token bucket per account.
 *
 * Every gateway keeps the whole bucket and deducts its own use and the use that its peers report. Peers without a
 * recent report may each use an equal share of the quota, so the rate and the capacity of the bucket are reduced by
 * their shares. This bounds an account that sends many times its quota through all gateways at once.
 *
 * @property clock source of monotonic time
 * @property tolerance accepted use beyond a quota
 */
public class AccountLedger(private val clock: Clock, private val tolerance: QuotaTolerance = QuotaTolerance.NONE) {
    private val buckets = HashMap<String, Bucket>()
    private var heardShare = 1.0

    /** Units that this gateway has admitted since it started, by account. */
    public val ownUse: Map<String, Long> get() = buckets.mapValues { it.value.ownUnits }

    /** Remaining units by account. */
    public val levels: Map<String, Long> get() = buckets.mapValues { it.value.level.toLong() }

    /** Creates empty buckets for [accounts], since the use before the start of this gateway is not known yet. */
    public fun prepare(accounts: Collection<ForwardingAccount>) {
        accounts.forEach { account -> account.quota?.let { refilledBucket(account.name, tolerance.extend(it)) } }
    }

    /** Raises the buckets to the [levels] that a peer reports in its first message after the start of this gateway. */
    public fun raiseLevels(levels: Map<String, Long>) {
        levels.forEach { (account, level) -> buckets[account]?.let { it.level = maxOf(it.level, level.toDouble()) } }
    }

    /** Records that [heard] of [gateways] gateways, including this one, currently exchange their use. */
    public fun recordGateways(heard: Int, gateways: Int) {
        heardShare = heard.toDouble() / maxOf(heard, gateways, 1)
    }

    /**
     * Deducts [units] from the bucket of [account] if it holds enough.
     *
     * @param routeRank rank of the request's route; part of the burst is reserved for routes of higher rank, so that
     * an account at its limit has its least urgent requests refused first
     * @param hasFreeSlots whether endpoints have free slots; if not, the tolerance is withheld, since it would take
     * capacity from accounts within their quota
     * @return null if the request is admitted, or the milliseconds until the bucket holds enough
     */
    public fun admit(account: ForwardingAccount, units: Long, routeRank: Int = 0, hasFreeSlots: Boolean = true): Long? {
        val quota = account.quota?.let(tolerance::extend) ?: return null
        val bucket = refilledBucket(account.name, quota)
        val capacity = quota.burstUnits * heardShare
        val reserved = capacity * minOf(routeRank * RESERVED_SHARE_PER_RANK, MAXIMUM_RESERVED_SHARE)
        val withheld = if (hasFreeSlots) 0.0 else capacity - account.quota!!.burstUnits * heardShare
        // A request larger than the burst is admitted only when the bucket is full.
        val missing = minOf(units + reserved + withheld, capacity) - bucket.level
        if (missing > 0) return (missing / (quota.unitsPerSecond * heardShare) * MILLISECONDS_PER_SECOND).toLong() + 1
        bucket.level -= units
        bucket.ownUnits += units
        return null
    }

    /** Credits [units] to [account] for a request that was not sent to any endpoint. */
    public fun credit(account: String, units: Long) {
        val bucket = buckets[account] ?: return
        bucket.level += units
        bucket.ownUnits -= units
    }

    /** Deducts [units] of [account] that a peer has used. */
    public fun recordPeerUse(account: String, units: Long) {
        buckets[account]?.let { it.level -= units }
    }

    private fun refilledBucket(account: String, quota: AccountQuota): Bucket {
        val now = clock.monotonicMilliseconds()
        val bucket = buckets.getOrPut(account) { Bucket(0.0, now) }
        val earned = quota.unitsPerSecond * heardShare * (now - bucket.refilledAt) / MILLISECONDS_PER_SECOND
        bucket.level = minOf(quota.burstUnits * heardShare, bucket.level + earned)
        bucket.refilledAt = now
        return bucket
    }

    private class Bucket(var level: Double, var refilledAt: Long) {
        var ownUnits = 0L
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Share of the burst that is reserved for each rank above the rank of a request. */
        const val RESERVED_SHARE_PER_RANK = 0.15
        const val MAXIMUM_RESERVED_SHARE = 0.45
    }
}
