package org.guavahatch.gateway.endpoint

import org.guavahatch.model.time.Clock

/** Connections to one endpoint that wait for a request, the last used one on top. */
class IdleConnections(private val clock: Clock) {
    private val idle = ArrayDeque<Entry>()

    /** Number of idle connections. */
    val size: Int get() = idle.size

    /** Takes a connection that was idle for at most [longestIdle] of its own keep-alive time, or null. */
    fun take(longestIdleMilliseconds: Long): EndpointConnection? {
        val now = clock.monotonicMilliseconds()
        while (idle.isNotEmpty()) {
            val entry = idle.removeLast()
            val allowed = minOf(longestIdleMilliseconds, entry.connection.keepAliveMilliseconds?.div(2) ?: ASSUMED_IDLE)
            if (entry.connection.channel.isActive && now - entry.since <= allowed) return entry.connection
            entry.connection.channel.close()
        }
        return null
    }

    /** Puts [connection] back. */
    fun release(connection: EndpointConnection) {
        if (idle.size >= MOST_IDLE) {
            connection.channel.close()
            return
        }
        idle.addLast(Entry(connection, clock.monotonicMilliseconds()))
    }

    /** Forgets [connection], which has closed. */
    fun remove(connection: EndpointConnection) {
        idle.removeAll { it.connection === connection }
    }

    /** Closes all. */
    fun close() {
        val closing = idle.toList()
        idle.clear()
        closing.forEach { it.connection.channel.close() }
    }

    private class Entry(val connection: EndpointConnection, val since: Long)

    private companion object {
        /** Where an endpoint does not tell its timeout: short, since a reused connection may close under a request. */
        const val ASSUMED_IDLE = 2_000L

        /** Connections beyond a batch's size are not needed between bursts. */
        const val MOST_IDLE = 16
    }
}
