package org.guavahatch.scheduling.queue

import java.util.TreeSet

/** Queue of the requests of one account within one tier, ordered by earliest deadline. */
internal class AccountQueue(val account: String) {
    private val requests = TreeSet(compareBy<QueuedRequest> { it.deadlineMilliseconds }.thenBy { it.requestId })

    /**
     * Served cost divided by share, raised to the virtual time of the tier when the account becomes active again after
     * being idle.
     */
    var virtualTime: Double = 0.0

    val isEmpty: Boolean get() = requests.isEmpty()

    fun add(request: QueuedRequest) = requests.add(request)

    fun remove(request: QueuedRequest) = requests.remove(request)

    fun first(): QueuedRequest = requests.first()
}
