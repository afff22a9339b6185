package org.guavahatch.standins.platform

import kotlinx.serialization.Serializable
import java.util.TreeMap

/** A row with the version that rises with each of its writes. */
@Serializable
internal data class StoredRow(val key: String, val value: String, val version: Long)

/** A write that takes effect if the row has version [ifVersion]; 0 stands for no row. A null value deletes. */
@Serializable
internal data class RowWrite(val key: String, val value: String?, val ifVersion: Long)

/** Writes that take effect all or not at all. */
@Serializable
internal data class Transaction(val writes: List<RowWrite>)

/** Positions of the writes whose conditions did not hold. */
@Serializable
internal data class Rejection(val failed: Set<Int>)

/** A transactional table in memory. */
internal class Table {
    private val rows = TreeMap<String, StoredRow>()
    private var lastVersion = 0L

    @get:Synchronized
    var writes = 0L
        private set

    @Synchronized
    fun read(key: String): StoredRow? = rows[key]

    @Synchronized
    fun list(prefix: String): List<StoredRow> = rows.tailMap(prefix).values.takeWhile { it.key.startsWith(prefix) }

    /** Applies [transaction]; returns the positions of failed conditions, empty if it was applied. */
    @Synchronized
    fun apply(transaction: Transaction): Set<Int> {
        val failed = transaction.writes.indices
            .filter { (rows[transaction.writes[it].key]?.version ?: 0) != transaction.writes[it].ifVersion }
            .toSet()
        if (failed.isEmpty()) {
            transaction.writes.forEach(::write)
            writes++
        }
        return failed
    }

    private fun write(write: RowWrite) {
        lastVersion++
        if (write.value == null) {
            rows.remove(write.key)
        } else {
            rows[write.key] = StoredRow(write.key, write.value, lastVersion)
        }
    }
}
