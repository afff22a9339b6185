package org.guavahatch.cli.bench

import java.util.PriorityQueue

/** Events in virtual time. Events of the same time run in the order in which they were added. */
internal class VirtualTime {
    private class Event(val atMilliseconds: Double, val number: Long, val run: () -> Unit)

    private val events = PriorityQueue(compareBy<Event> { it.atMilliseconds }.thenBy { it.number })
    private var added = 0L

    /** The present time. */
    var nowMilliseconds = 0.0
        private set

    /** The present time in whole milliseconds, as processes read it. */
    val clockMilliseconds: Long get() = nowMilliseconds.toLong()

    fun at(atMilliseconds: Double, run: () -> Unit) {
        events += Event(maxOf(atMilliseconds, nowMilliseconds), added++, run)
    }

    fun after(delayMilliseconds: Double, run: () -> Unit) = at(nowMilliseconds + delayMilliseconds, run)

    /** Runs [run] every [periodMilliseconds] until [endMilliseconds]. */
    fun every(periodMilliseconds: Double, endMilliseconds: Double, run: () -> Unit) {
        after(periodMilliseconds) {
            run()
            if (nowMilliseconds < endMilliseconds) every(periodMilliseconds, endMilliseconds, run)
        }
    }

    /** Runs all events up to [endMilliseconds]. */
    fun runUntil(endMilliseconds: Double) {
        while (events.isNotEmpty() && events.peek().atMilliseconds <= endMilliseconds) {
            val event = events.remove()
            nowMilliseconds = event.atMilliseconds
            event.run()
        }
    }
}
