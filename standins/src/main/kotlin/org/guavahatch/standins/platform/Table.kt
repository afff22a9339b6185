package org.guavahatch.standins.platform

import kotlinx.serialization.Serializable
import java.util.TreeMap

/**
 * A row of the table.
 *
 * @property key key of the row
 * @property value value of the row
 * @property version version, which increases with each write; numbers are unique within the table, so that a row
 * that is deleted and created again gets a new version
 */
@Serializable
internal data class StoredRow(val key: String, val value: String, val version: Long)

/**
 * A conditional write to one row.
 *
 * @property key key of the row
 * @property value new value; null deletes the row
 * @property ifVersion version that the row must have; 0 if it must not exist
 */
@Serializable
internal data class RowWrite(val key: String, val value: String?, val ifVersion: Long)

/** Writes that are applied atomically. */
@Serializable
internal data class Transaction(val writes: List<RowWrite>)

/** Indices of the writes whose conditions failed; empty if the transaction was applied. */
@Serializable
internal data class Rejection(val failed: Set<Int>)

/** In-memory table with optimistic transactions. */
internal class Table {
    private val rows = TreeMap<String, StoredRow>()
    private var lastVersion = 0L

    /** Number of transactions applied since start. */
    @get:Synchronized
    var transactionCount = 0L
        private set

    /** Returns the row with [key], or null. */
    @Synchronized
    fun read(key: String): StoredRow? = rows[key]

    /** Returns all rows whose key starts with [prefix], ordered by key. */
    @Synchronized
    fun list(prefix: String): List<StoredRow> = rows.tailMap(prefix).values.takeWhile { it.key.startsWith(prefix) }

    /**
     * Applies [transaction] if all its conditions hold; returns the indices of the writes whose conditions failed.
     */
    @Synchronized
    fun apply(transaction: Transaction): Set<Int> {
        val failed = transaction.writes.indices
            .filter { (rows[transaction.writes[it].key]?.version ?: 0) != transaction.writes[it].ifVersion }
            .toSet()
        if (failed.isEmpty()) {
            transaction.writes.forEach(::write)
            transactionCount++
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
