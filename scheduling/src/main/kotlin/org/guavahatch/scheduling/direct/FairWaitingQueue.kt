package org.guavahatch.scheduling.direct

import java.util.PriorityQueue
import java.util.TreeMap

/**
 * Queue of waiting requests that shares a full pool between client accounts.
 *
 * Ranks go before each other as in [WaitingQueue]. Among requests of equal rank, interrupted streams go first, whatever
 * their account, since their use was counted when they were first sent. Then the account with the lowest weighted use
 * is next, and within it the order of [WaitingQueue] holds.
 *
 * @property shares recent use of the accounts
 * @property cost cost of the requests of the pool
 */
public class FairWaitingQueue(private val shares: AccountShares, private val cost: TokenCost) : RequestQueue {
    private val groups = TreeMap<Int, Group>()

    override var size: Int = 0
        private set

    override val waitingOrders: Set<Int> get() = groups.keys

    override val highestPriority: WaitingReport?
        get() = groups.firstEntry()?.let { (order, group) ->
            WaitingReport(order, group.size, lowestUse = group.lowestUse())
        }

    override fun useOf(request: WaitingRequest): Int? =
        if (request.hasAnswerBegun) null else usedNow(shares.useOf(request.account).weighted)

    private fun usedNow(stored: Double): Int = (stored / shares.growth()).toInt()

    override fun countOfHighestPriority(limit: Int, predicate: (WaitingRequest) -> Boolean): Int =
        groups.firstEntry()?.value?.count(limit, predicate) ?: 0

    override fun firstLate(now: Long): WaitingRequest? = groups.firstEntry()?.value?.firstLate(now)

    override fun candidates(now: Long): List<WaitingRequest> = buildList {
        groups.values.forEach { it.addCandidates(now, this) }
    }

    override fun inDispatchOrder(now: Long): List<WaitingRequest> = ArrayList<WaitingRequest>(size).also { ordered ->
        val growth = shares.growth()
        groups.values.forEach { it.addInDispatchOrder(now, growth, ordered) }
    }

    override fun add(request: WaitingRequest) {
        if (groups.getOrPut(request.order) { Group() }.add(request)) size++
    }

    override fun remove(request: WaitingRequest): Boolean {
        val group = groups[request.order] ?: return false
        if (!group.remove(request)) return false
        size--
        if (group.size == 0) groups.remove(request.order)
        return true
    }

    /** The waiting requests of one account and order. */
    private class Line(val use: AccountUse) {
        val requests = WaitingQueue()
    }

    /** The waiting requests of one order. */
    private inner class Group {
        private val interrupted = WaitingQueue()
        private val lines = LinkedHashMap<String, Line>()
        var size = 0
            private set

        private fun queueOf(request: WaitingRequest): WaitingQueue? =
            if (request.hasAnswerBegun) interrupted else lines[request.account]?.requests

        fun add(request: WaitingRequest): Boolean {
            val queue = queueOf(request)
                ?: Line(shares.useOf(request.account)).also { lines[request.account] = it }.requests
            val sizeBefore = queue.size
            queue.add(request)
            size += queue.size - sizeBefore
            return queue.size > sizeBefore
        }

        fun remove(request: WaitingRequest): Boolean {
            val queue = queueOf(request) ?: return false
            if (!queue.remove(request)) return false
            size--
            if (queue.size == 0 && queue !== interrupted) lines.remove(request.account)
            return true
        }

        /** Counts among an equal number of requests of each account, since the accounts share the slots. */
        fun count(limit: Int, predicate: (WaitingRequest) -> Boolean): Int {
            val limitOfLine = limit / maxOf(1, lines.size) + 1
            return minOf(limit, lines.values.sumOf { it.requests.countOfHighestPriority(limitOfLine, predicate) })
        }

        fun firstLate(now: Long): WaitingRequest? = lowestLines().firstNotNullOfOrNull { it.requests.firstLate(now) }

        fun addCandidates(now: Long, candidates: MutableList<WaitingRequest>) {
            candidates += interrupted.candidates(now)
            lowestLines().forEach { line ->
                val first = line.requests.candidates(now)
                for (index in 0 until minOf(first.size, ACCOUNT_CANDIDATES)) candidates += first[index]
            }
        }

        /** The lines of the accounts with the lowest weighted use, the lowest first. */
        private fun lowestLines(): List<Line> {
            val lowest = ArrayList<Line>(CANDIDATE_ACCOUNTS + 1)
            for (line in lines.values) {
                val use = line.use.weighted
                if (lowest.size == CANDIDATE_ACCOUNTS && use >= lowest.last().use.weighted) continue
                var position = lowest.size
                while (position > 0 && lowest[position - 1].use.weighted > use) position--
                lowest.add(position, line)
                if (lowest.size > CANDIDATE_ACCOUNTS) lowest.removeAt(CANDIDATE_ACCOUNTS)
            }
            return lowest
        }

        fun lowestUse(): LowestUse {
            val bound = (lines.values.minOfOrNull { it.use.weighted } ?: 0.0) * LowestUse.TOLERANCE
            val waiting = lines.values.sumOf { if (it.use.weighted <= bound) it.requests.size else 0 }
            return LowestUse(usedNow(bound), waiting + interrupted.size)
        }

        /** Plays the choices of accounts forward, each request adding its cost to its account. */
        fun addInDispatchOrder(now: Long, growth: Double, ordered: MutableList<WaitingRequest>) {
            ordered += interrupted.inDispatchOrder(now)
            val positions = PriorityQueue<Position>(maxOf(1, lines.size), compareBy { it.use })
            lines.values.forEach { positions += Position(it, it.requests.inDispatchOrder(now)) }
            while (true) {
                val position = positions.poll() ?: return
                ordered += position.take(growth)
                if (position.hasMore) positions += position
            }
        }
    }

    /** Next request of [line] in [requests], and the use of its account by then. */
    private inner class Position(private val line: Line, private val requests: List<WaitingRequest>) {
        private var next = 0

        var use = line.use.weighted
            private set

        val hasMore: Boolean get() = next < requests.size

        fun take(growth: Double): WaitingRequest {
            val request = requests[next++]
            use += line.use.increment(cost.of(request, request.units), growth)
            return request
        }
    }

    private companion object {
        /** Requests of one account that are tried, so that a short prompt passes one that no endpoint can take now. */
        const val ACCOUNT_CANDIDATES = 2

        /** Accounts of which requests are tried; few, since each request is compared with all endpoints. */
        const val CANDIDATE_ACCOUNTS = 4
    }
}
