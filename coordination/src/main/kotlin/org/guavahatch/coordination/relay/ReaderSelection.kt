package org.guavahatch.coordination.relay

import org.guavahatch.model.time.Clock
import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * A peer that relays the store and was heard recently.
 *
 * @property name name of the peer
 * @property zone zone of its instance
 * @property versions version up to which it follows each table
 */
public data class RelayPeer(public val name: String, public val zone: String, public val versions: Map<String, Long>)

/** Source of the next poll of a table. */
public sealed interface PollSource {
    /** The gateway asks the store itself. */
    public enum class Store : PollSource {
        /** The gateway is a reader. */
        READER,

        /** All readers have failed within the avoidance time. */
        AVOIDED,

        /** No reader that may be asked has all changes that the gateway has. */
        BEHIND,
    }

    /**
     * The gateway asks a reader.
     *
     * @property name name of the reader
     */
    public data class Reader(public val name: String) : PollSource
}

/**
 * Chooses who polls the store for a gateway. Gateways that hear different peers may disagree; this leads to a reader
 * more or fewer, but not to wrong data.
 *
 * @property name name of this gateway
 * @property zone zone of its instance
 * @property readersPerZone number of gateways of each zone that poll the store
 * @property clock clock of the avoidance time
 */
public class ReaderSelection(
    private val name: String,
    private val zone: String,
    private val readersPerZone: Int,
    private val clock: Clock,
) {
    private val avoidedUntil = HashMap<String, Long>()

    /** Avoids [reader], which has failed, for all tables. */
    public fun avoid(reader: String) {
        avoidedUntil[reader] = clock.monotonicMilliseconds() + AVOIDANCE_MILLISECONDS
    }

    /** Source of the next poll of [table], whose last change that this gateway has is [changeVersion]. */
    public fun source(table: String, changeVersion: Long, peers: Collection<RelayPeer>): PollSource {
        val neighbors = peers.filter { it.zone == zone && it.name != name }.associateBy { it.name }
        val readers = (neighbors.keys + name).sortedBy { hash("$zone $it") }.take(readersPerZone)
        if (name in readers) return PollSource.Store.READER
        val now = clock.monotonicMilliseconds()
        avoidedUntil.values.removeIf { it <= now }
        val usable = readers.filter { it !in avoidedUntil }
        if (usable.isEmpty()) return PollSource.Store.AVOIDED
        return usable.filter { (neighbors.getValue(it).versions[table] ?: -1) >= changeVersion }
            .minByOrNull { hash("$name $it") }
            ?.let(PollSource::Reader)
            ?: PollSource.Store.BEHIND
    }

    private fun hash(text: String): Long =
        ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())).getLong()

    public companion object {
        /** Long enough that a reader whose connections are silent costs its followers few time-outs. */
        public const val AVOIDANCE_MILLISECONDS: Long = 5_000
    }
}
