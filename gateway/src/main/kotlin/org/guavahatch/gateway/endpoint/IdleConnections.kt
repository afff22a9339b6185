package org.guavahatch.gateway.endpoint

import org.guavahatch.model.time.Clock

/** Idle connections to one endpoint; the most recently used one is reused first. */
class IdleConnections(private val clock: Clock) {
    private val idle = ArrayDeque<Entry>()

    /** Number of idle connections. */
    val size: Int get() = idle.size

    /**
     * Takes a connection that was idle for at most [maximumIdleMilliseconds] and at most half of its keep-alive
     * timeout, and whose number is not in [excluded], or null. Other connections found closed or idle for longer are
     * closed and dropped.
     */
    fun take(maximumIdleMilliseconds: Long, excluded: Set<Long>): EndpointConnection? {
        val now = clock.monotonicMilliseconds()
        val entries = idle.listIterator(idle.size)
        while (entries.hasPrevious()) {
            val entry = entries.previous()
            if (entry.connection.number in excluded) continue
            entries.remove()
            val allowed = minOf(
                maximumIdleMilliseconds,
                entry.connection.keepAliveMilliseconds?.div(2) ?: DEFAULT_MAXIMUM_IDLE_MILLISECONDS,
            )
            if (entry.connection.channel.isActive && now - entry.idleSince <= allowed) return entry.connection
            entry.connection.channel.close()
        }
        return null
    }

    /** Keeps [connection] for reuse, or closes it if enough are idle. */
    fun release(connection: EndpointConnection) {
        if (idle.size >= MAXIMUM_IDLE_CONNECTIONS) {
            connection.channel.close()
            return
        }
        idle.addLast(Entry(connection, clock.monotonicMilliseconds()))
    }

    /** Removes [connection], which has closed. */
    fun remove(connection: EndpointConnection) {
        idle.removeAll { it.connection === connection }
    }

    /** Closes all idle connections. */
    fun close() {
        val closing = idle.toList()
        idle.clear()
        closing.forEach { it.connection.channel.close() }
    }

    private class Entry(val connection: EndpointConnection, val idleSince: Long)

    private companion object {
        /** Used if no timeout is announced; short, as the endpoint may close a connection just as it is reused. */
        const val DEFAULT_MAXIMUM_IDLE_MILLISECONDS = 2_000L

        /** More connections than the size of a batch are not needed between bursts. */
        const val MAXIMUM_IDLE_CONNECTIONS = 16
    }
}
