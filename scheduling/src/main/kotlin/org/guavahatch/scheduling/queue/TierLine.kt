package org.guavahatch.scheduling.queue

import java.util.TreeSet

/**
 * The requests of one tier. Accounts take turns by start-time fair queueing: the account with the least cost served per
 * share comes first. An account that was idle starts at the tier's present virtual time, so idleness earns no credit.
 */
internal class TierLine {
    private val lines = HashMap<String, AccountLine>()
    private val order = TreeSet(compareBy<AccountLine> { it.virtualTime }.thenBy { it.account })
    private var virtualTime = 0.0

    var requests = 0
        private set

    var cost = 0.0
        private set

    fun add(request: QueuedRequest) {
        val line = lines.getOrPut(request.account) { AccountLine(request.account) }
        if (line.isEmpty) {
            line.virtualTime = maxOf(line.virtualTime, virtualTime)
            order.add(line)
        }
        line.add(request)
        requests++
        cost += request.cost
    }

    fun first(): QueuedRequest? = order.firstOrNull()?.first()

    fun remove(request: QueuedRequest) {
        val line = lines[request.account] ?: return
        if (!line.remove(request)) return
        if (line.isEmpty) order.remove(line)
        requests--
        cost = if (requests == 0) 0.0 else cost - request.cost
    }

    /** Notes that [request], which was removed, is served. */
    fun charge(request: QueuedRequest) {
        val line = lines[request.account] ?: return
        virtualTime = maxOf(virtualTime, line.virtualTime)
        val wasQueued = order.remove(line)
        line.virtualTime += request.cost / request.share
        if (wasQueued) order.add(line)
    }
}
