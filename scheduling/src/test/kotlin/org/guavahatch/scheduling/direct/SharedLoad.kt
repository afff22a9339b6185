package org.guavahatch.scheduling.direct

import kotlinx.collections.immutable.persistentSetOf
import org.guavahatch.model.forwarding.AccountQuota
import org.guavahatch.model.forwarding.ForwardingAccount
import org.guavahatch.model.time.ManualClock
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Load of one client account.
 *
 * @property share share of the capacity of the pool that it asks for
 * @property tokens tokens of each of its requests
 */
internal class AccountLoad(val name: String, val share: Double, val tokens: Long)

/**
 * Simulates a pool that many gateways share and fill with the requests of several accounts; no network, virtual time.
 *
 * A slot serves [TOKENS_PER_MILLISECOND] tokens in 1 ms. Gateways learn of each other's use some milliseconds after
 * each report; a part of the reports is lost. A free slot goes to any gateway with waiting requests, unless its peers
 * have told that accounts with a lower use wait there.
 */
internal class SharedLoad(
    seed: Int,
    gateways: Int,
    private val slots: Int,
    private val loads: List<AccountLoad>,
    private val isFair: Boolean,
    private val lostShare: Double,
    private val transitMilliseconds: Long,
) {
    private val random = Random(seed)
    private val clock = ManualClock()
    private val waitingInterval = maxOf(40L, gateways * 4L)
    private val accounts = loads.map { ForwardingAccount(it.name, persistentSetOf(), quota = QUOTA) }
    private val gateways = List(gateways) { Gateway() }
    private val busyUntil = PriorityQueue<Long>()
    private val inTransit = ArrayDeque<Triple<Long, Int, LongArray>>()
    private val waitingReports = ArrayDeque<Triple<Long, Int, LowestUse?>>()
    private val heardWaiting = arrayOfNulls<LowestUse>(gateways)
    private val owed = DoubleArray(loads.size)
    private var sequence = 0L

    /** Tokens of the requests that were served, by account. */
    val served = LongArray(loads.size)

    private inner class Gateway {
        val shares = AccountShares(clock).also { it.configure(accounts) }
        val queue: RequestQueue = if (isFair) FairWaitingQueue(shares, TokenCost()) else WaitingQueue()
        val forecast = QueueForecast()
        val admitted = LongArray(loads.size)
        val heard by lazy { Array(gateways.size) { LongArray(loads.size) } }

        fun submit(account: Int, now: Long) {
            val load = loads[account]
            admitted[account] += load.tokens
            queue.add(
                waitingRequest(sequence++, arrivedAt = now, promptTokens = load.tokens, outputTokens = 0)
                    .copy(account = load.name, units = load.tokens),
            )
        }

        fun dispatch(now: Long) {
            val request = queue.candidates(now).first()
            queue.remove(request)
            forecast.recordDispatch(now, hasMoreWaiting = queue.size > 0)
            shares.recordSent(request.account, request.promptTokens.toDouble(), request.units)
            busyUntil += now + request.promptTokens / TOKENS_PER_MILLISECOND
            if (now > START_MILLISECONDS) served[accountOf(request)] += request.promptTokens
        }

        fun mayUse(free: Int, now: Long): Boolean {
            val use = queue.useOf(queue.candidates(now).first()) ?: return true
            val waiting = heardWaiting.sumOf { if (it != null && it.use < use) it.requests else 0 }
            return minOf(waiting, (slots + 31) / 32) < free
        }

        fun refuseHopeless(now: Long) {
            var ahead = 0
            queue.inDispatchOrder(now).forEach { request ->
                if (forecast.canDispatchInTime(request, ahead, now)) {
                    ahead++
                } else {
                    queue.remove(request)
                    admitted[accountOf(request)] -= request.units
                }
            }
        }

        fun hear(sender: Int, use: LongArray) {
            val before = heard[sender]
            val changes = loads.indices.filter { use[it] != before[it] }
                .associate { loads[it].name to use[it] - before[it] }
            use.copyInto(before)
            shares.recordPeerUse(sender.toString(), changes)
        }
    }

    fun simulate(): SharedLoad = apply {
        repeat(DURATION_MILLISECONDS) {
            clock.advance(1)
            val now = clock.monotonicMilliseconds()
            arrive(now)
            while (busyUntil.isNotEmpty() && busyUntil.peek() <= now) busyUntil.poll()
            dispatch(now)
            gateways.forEachIndexed { index, gateway ->
                if ((now + index) % RECHECK_MILLISECONDS == 0L) gateway.refuseHopeless(now)
            }
            if (isFair) exchange(now)
        }
    }

    private fun accountOf(request: WaitingRequest) = loads.indexOfFirst { it.name == request.account }

    private fun arrive(now: Long) = loads.forEachIndexed { account, load ->
        owed[account] += load.share * slots * TOKENS_PER_MILLISECOND * random.nextDouble() * 2
        while (owed[account] >= load.tokens) {
            owed[account] -= load.tokens.toDouble()
            gateways.random(random).submit(account, now)
        }
    }

    private fun dispatch(now: Long) {
        val waiting = gateways.filterTo(ArrayList()) { it.queue.size > 0 }
        while (waiting.isNotEmpty() && busyUntil.size < slots) {
            val index = random.nextInt(waiting.size)
            val mayUse = waiting[index].mayUse(slots - busyUntil.size, now)
            if (mayUse) waiting[index].dispatch(now)
            if (!mayUse || waiting[index].queue.size == 0) waiting.removeAt(index)
        }
    }

    private fun exchange(now: Long) {
        gateways.forEachIndexed { index, gateway ->
            val isDue = (now + index * REPORT_MILLISECONDS / gateways.size) % REPORT_MILLISECONDS == 0L
            if (isDue) inTransit += Triple(now + transitMilliseconds, index, gateway.admitted.copyOf())
            if ((now + index) % waitingInterval == 0L && random.nextDouble() >= lostShare) {
                waitingReports += Triple(now + transitMilliseconds, index, gateway.queue.highestPriority?.lowestUse)
            }
        }
        while (waitingReports.firstOrNull()?.let { it.first <= now } == true) {
            waitingReports.removeFirst().let { (_, sender, waiting) -> heardWaiting[sender] = waiting }
        }
        while (inTransit.firstOrNull()?.let { it.first <= now } == true) {
            val (_, sender, use) = inTransit.removeFirst()
            gateways.forEachIndexed { index, gateway ->
                if (index != sender && random.nextDouble() >= lostShare) gateway.hear(sender, use)
            }
        }
    }

    companion object {
        const val TOKENS_PER_MILLISECOND = 2L
        private const val START_MILLISECONDS = 2_000
        private const val DURATION_MILLISECONDS = 10_000
        private const val RECHECK_MILLISECONDS = 20L
        private const val REPORT_MILLISECONDS = 200L
        private val QUOTA = AccountQuota(1e6, 1e6, countsTokens = true, defaultRequestUnits = 100)
    }
}
