package org.guavahatch.scheduling.direct

import org.guavahatch.model.forwarding.AccountQuota
import org.guavahatch.model.forwarding.ForwardingAccount
import org.guavahatch.model.time.Clock

/**
 * Use of client accounts over all gateways together, by one token bucket an account.
 *
 * Every gateway keeps the whole bucket and takes from it what it and its peers use. Peers that are not heard may use
 * their equal part unseen, so the bucket fills only at the rate of the others. The load it answers: an account that
 * sends many times its quota through all gateways at once.
 *
 * @property clock source of time
 * @property tolerance what may pass beyond a quota
 */
public class AccountLedger(private val clock: Clock, private val tolerance: QuotaTolerance = QuotaTolerance.NONE) {
    private val buckets = HashMap<String, Bucket>()
    private var heardShare = 1.0

    /** Units that this gateway has let through since it started, by account. */
    public val ownUse: Map<String, Long> get() = buckets.mapValues { it.value.ownUnits }

    /** Units that are left of each account. */
    public val levels: Map<String, Long> get() = buckets.mapValues { it.value.level.toLong() }

    /** Creates the buckets of [accounts], empty: what was used before this gateway started is not known yet. */
    public fun prepare(accounts: Collection<ForwardingAccount>) {
        accounts.forEach { account -> account.quota?.let { refilled(account.name, tolerance.extend(it)) } }
    }

    /** Takes over the [levels] that a peer sees, at the first message heard after a start. */
    public fun adopt(levels: Map<String, Long>) {
        levels.forEach { (account, level) -> buckets[account]?.let { it.level = maxOf(it.level, level.toDouble()) } }
    }

    /** Notes that [heard] of [gateways] gateways, this one included, exchange their use at present. */
    public fun noteGateways(heard: Int, gateways: Int) {
        heardShare = heard.toDouble() / maxOf(heard, gateways, 1)
    }

    /**
     * Takes [units] of [account]; returns null, or the milliseconds until they will be there.
     *
     * @param routeRank rank of the request's route: a part of the burst is kept for routes of higher rank, so that an
     * account at its limit loses its least urgent requests first
     * @param hasRoom whether endpoints are free; if not, nothing passes beyond the quota itself, since that would take
     * room from accounts that keep to theirs
     */
    public fun admit(account: ForwardingAccount, units: Long, routeRank: Int = 0, hasRoom: Boolean = true): Long? {
        val quota = account.quota?.let(tolerance::extend) ?: return null
        val bucket = refilled(account.name, quota)
        val full = quota.burstUnits * heardShare
        val kept = full * minOf(routeRank * KEPT_PER_RANK, MOST_KEPT)
        val beyond = if (hasRoom) 0.0 else full - account.quota!!.burstUnits * heardShare
        // A request above the whole burst can only run from a full bucket.
        val missing = minOf(units + kept + beyond, full) - bucket.level
        if (missing > 0) return (missing / (quota.unitsPerSecond * heardShare) * MILLISECONDS_PER_SECOND).toLong() + 1
        bucket.level -= units
        bucket.ownUnits += units
        return null
    }

    /** Returns [units] of [account] for a request that was not sent to any endpoint. */
    public fun giveBack(account: String, units: Long) {
        val bucket = buckets[account] ?: return
        bucket.level += units
        bucket.ownUnits -= units
    }

    /** Notes that peers have used [units] more of [account]. */
    public fun noteRemote(account: String, units: Long) {
        buckets[account]?.let { it.level -= units }
    }

    private fun refilled(account: String, quota: AccountQuota): Bucket {
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

        /** Part of the burst that is kept for each rank above a request's own. */
        const val KEPT_PER_RANK = 0.15
        const val MOST_KEPT = 0.45
    }
}
