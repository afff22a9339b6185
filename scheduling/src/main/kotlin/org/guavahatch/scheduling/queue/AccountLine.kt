package org.guavahatch.scheduling.queue

import java.util.TreeSet

/** The requests of one account within one tier, earliest deadline first. */
internal class AccountLine(val account: String) {
    private val requests = TreeSet(compareBy<QueuedRequest> { it.deadlineMilliseconds }.thenBy { it.requestId })

    /** Cost per share that the account has been served so far, on the scale of its tier. */
    var virtualTime: Double = 0.0

    val isEmpty: Boolean get() = requests.isEmpty()

    fun add(request: QueuedRequest) = requests.add(request)

    fun remove(request: QueuedRequest) = requests.remove(request)

    fun first(): QueuedRequest = requests.first()
}
