package org.guavahatch.gateway.endpoint

import org.guavahatch.model.time.Clock
import org.guavahatch.scheduling.direct.ConnectionReuse

/** Idle connections to one endpoint; the most recently used one is reused first. */
class IdleConnections(private val clock: Clock) {
    private val idle = ArrayDeque<Entry>()
    private val reuse = ConnectionReuse()
    private var isRetired = false

    /** Number of idle connections. */
    val size: Int get() = idle.size

    /**
     * Takes a connection that was idle for at most [maximumIdleMilliseconds] and at most half of its keep-alive
     * timeout, on which nothing was received meanwhile, and whose number is not in [excluded], or null. Other
     * connections found closed or idle for longer are closed and dropped.
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
            val isFresh = entry.connection.channel.isActive && now - entry.idleSince <= allowed
            if (isFresh && entry.connection.isReusable()) return entry.connection
            entry.connection.channel.close()
            // The connection may have found bytes of no answer, so that the others are closed.
            if (!reuse.isAllowed(now)) return null
        }
        return null
    }

    /** Keeps [connection] for reuse, or closes it if enough are idle or none may be reused. */
    fun release(connection: EndpointConnection) {
        val isKept = !isRetired && reuse.isAllowed(clock.monotonicMilliseconds())
        if (idle.size >= MAXIMUM_IDLE_CONNECTIONS || !isKept) {
            connection.channel.close()
            return
        }
        idle.addLast(Entry(connection, clock.monotonicMilliseconds()))
    }

    /** Removes [connection], which has closed. */
    fun remove(connection: EndpointConnection) {
        idle.removeAll { it.connection === connection }
    }

    /** Closes all idle connections, and keeps none for some time, as the endpoint has sent bytes of no answer. */
    fun suspendReuse() {
        reuse.recordUnexpectedBytes(clock.monotonicMilliseconds())
        close()
    }

    /** Closes all idle connections, and those in use after their request. */
    fun retire() {
        isRetired = true
        close()
    }

    private fun close() {
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
