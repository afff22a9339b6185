package org.guavahatch.cli.bench

import java.util.PriorityQueue

/** Discrete-event loop in virtual time. Events with the same time run in the order in which they were scheduled. */
internal class EventLoop {
    private class Event(val atMilliseconds: Double, val number: Long, val action: () -> Unit)

    private val events = PriorityQueue(compareBy<Event> { it.atMilliseconds }.thenBy { it.number })
    private var nextNumber = 0L

    /** Current virtual time. */
    var nowMilliseconds = 0.0
        private set

    /** Current virtual time in whole milliseconds, the resolution of the clock of a process. */
    val clockMilliseconds: Long get() = nowMilliseconds.toLong()

    /** Schedules [action] at [atMilliseconds], or now if that time has passed. */
    fun scheduleAt(atMilliseconds: Double, action: () -> Unit) {
        events += Event(maxOf(atMilliseconds, nowMilliseconds), nextNumber++, action)
    }

    /** Schedules [action] after [delayMilliseconds]. */
    fun scheduleAfter(delayMilliseconds: Double, action: () -> Unit) =
        scheduleAt(nowMilliseconds + delayMilliseconds, action)

    /** Schedules [action] every [periodMilliseconds] until [endMilliseconds], first after one period. */
    fun scheduleEvery(periodMilliseconds: Double, endMilliseconds: Double, action: () -> Unit) {
        scheduleAfter(periodMilliseconds) {
            action()
            if (nowMilliseconds < endMilliseconds) scheduleEvery(periodMilliseconds, endMilliseconds, action)
        }
    }

    /** Runs all events up to [endMilliseconds]. */
    fun runUntil(endMilliseconds: Double) {
        while (events.isNotEmpty() && events.peek().atMilliseconds <= endMilliseconds) {
            val event = events.remove()
            nowMilliseconds = event.atMilliseconds
            event.action()
        }
    }
}
