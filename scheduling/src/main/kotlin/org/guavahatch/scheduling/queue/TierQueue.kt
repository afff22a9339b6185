package org.guavahatch.scheduling.queue

import java.util.TreeSet

/**
 * Queue of the requests of one tier, ordered by start-time fair queueing between accounts: the account with the least
 * served cost per share is next. An account that was idle resumes at the current virtual time of the tier, so it gains
 * no credit for idle time.
 */
internal class TierQueue {
    private val accountQueues = HashMap<String, AccountQueue>()
    private val backlogged = TreeSet(compareBy<AccountQueue> { it.virtualTime }.thenBy { it.account })
    private var virtualTime = 0.0

    var requests = 0
        private set

    var cost = 0.0
        private set

    fun add(request: QueuedRequest) {
        val accountQueue = accountQueues.getOrPut(request.account) { AccountQueue(request.account) }
        if (accountQueue.isEmpty) {
            accountQueue.virtualTime = maxOf(accountQueue.virtualTime, virtualTime)
            backlogged.add(accountQueue)
        }
        accountQueue.add(request)
        requests++
        cost += request.cost
    }

    fun first(): QueuedRequest? = backlogged.firstOrNull()?.first()

    fun remove(request: QueuedRequest) {
        val accountQueue = accountQueues[request.account] ?: return
        if (!accountQueue.remove(request)) return
        if (accountQueue.isEmpty) backlogged.remove(accountQueue)
        requests--
        cost = if (requests == 0) 0.0 else cost - request.cost
    }

    /** Charges the cost of [request], which was removed from this queue, to its account. */
    fun charge(request: QueuedRequest) {
        val accountQueue = accountQueues[request.account] ?: return
        virtualTime = maxOf(virtualTime, accountQueue.virtualTime)
        val wasQueued = backlogged.remove(accountQueue)
        accountQueue.virtualTime += request.cost / request.share
        if (wasQueued) backlogged.add(accountQueue)
    }
}
