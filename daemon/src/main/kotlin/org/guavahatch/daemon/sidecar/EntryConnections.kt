package org.guavahatch.daemon.sidecar

import org.guavahatch.daemon.transport.InnerConnection
import org.guavahatch.model.identity.Incarnation
import java.util.concurrent.ConcurrentHashMap

/**
 * An entry instance's connection.
 *
 * @property name name of the entry instance
 * @property connection the connection
 */
internal class EntryConnection(val name: String, val connection: InnerConnection)

/** The present connection of each entry instance. A new one replaces the old one of the same incarnation. */
internal class EntryConnections {
    private val byEntry = ConcurrentHashMap<Incarnation, EntryConnection>()

    val all: Collection<EntryConnection> get() = byEntry.values

    operator fun get(entry: Incarnation): InnerConnection? = byEntry[entry]?.connection

    /** Sets the connection of [entry]; returns the one that it replaces. */
    fun set(entry: Incarnation, connection: EntryConnection): InnerConnection? =
        byEntry.put(entry, connection)?.connection

    /** Whether [connection] is the present one of [entry]. */
    fun isCurrent(entry: Incarnation, connection: InnerConnection): Boolean = this[entry] === connection

    /** Removes [connection] if it is the present one of [entry]; false if it was replaced. */
    fun remove(entry: Incarnation, connection: InnerConnection): Boolean {
        val present = byEntry[entry] ?: return false
        return present.connection === connection && byEntry.remove(entry, present)
    }
}
