package org.guavahatch.daemon.sidecar

import org.guavahatch.daemon.transport.PeerConnection
import org.guavahatch.model.identity.Incarnation
import java.util.concurrent.ConcurrentHashMap

/**
 * The connection of an entry instance.
 *
 * @property name name of the entry instance
 */
internal class EntryConnection(val name: String, val connection: PeerConnection)

/** The current connection of each entry instance. A new connection replaces that of the same incarnation. */
internal class EntryConnections {
    private val byEntry = ConcurrentHashMap<Incarnation, EntryConnection>()

    val all: Collection<EntryConnection> get() = byEntry.values

    operator fun get(entry: Incarnation): PeerConnection? = byEntry[entry]?.connection

    /** Sets the connection of [entry] and returns the connection that it replaces, if any. */
    fun set(entry: Incarnation, connection: EntryConnection): PeerConnection? =
        byEntry.put(entry, connection)?.connection

    /** Whether [connection] is the current connection of [entry]. */
    fun isCurrent(entry: Incarnation, connection: PeerConnection): Boolean = this[entry] === connection

    /** Removes [connection] if it is the current connection of [entry]. Returns false if it was replaced. */
    fun remove(entry: Incarnation, connection: PeerConnection): Boolean {
        val current = byEntry[entry] ?: return false
        return current.connection === connection && byEntry.remove(entry, current)
    }
}
