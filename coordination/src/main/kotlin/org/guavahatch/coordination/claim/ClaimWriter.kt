package org.guavahatch.coordination.claim

import arrow.core.Either
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.guavahatch.coordination.store.ConditionalWrite
import org.guavahatch.coordination.store.PlatformError
import org.guavahatch.coordination.store.RowCondition
import org.guavahatch.coordination.store.TableService
import org.guavahatch.coordination.store.TransactionResult

/** Inserts claims in groups, so that a table service with few writes a second carries many claims. */
internal class ClaimWriter(
    private val table: TableService,
    private val settings: ClaimSettings,
    scope: CoroutineScope,
) {
    private class Insert(
        val rowKey: String,
        val value: String,
        val inserted: CompletableDeferred<Either<PlatformError, Boolean>>,
    )

    private val inserts = Channel<Insert>(Channel.UNLIMITED)

    init {
        scope.launch { writeGroups(scope) }
    }

    /** Inserts a row; false if there is one with the key already. */
    suspend fun insert(rowKey: String, value: String): Either<PlatformError, Boolean> {
        val insert = Insert(rowKey, value, CompletableDeferred())
        inserts.send(insert)
        return insert.inserted.await()
    }

    private suspend fun writeGroups(scope: CoroutineScope) {
        val postponed = ArrayDeque<Insert>()
        while (true) {
            val group = LinkedHashMap<String, Insert>()
            take(group, postponed, postponed.removeFirstOrNull() ?: inserts.receive())
            delay(settings.groupMilliseconds)
            repeat(postponed.size) { take(group, postponed, postponed.removeFirst()) }
            while (group.size < settings.groupSize) {
                take(group, postponed, inserts.tryReceive().getOrNull() ?: break)
            }
            scope.launch { write(group.values.toList()) }
        }
    }

    /** A transaction may name a key once, so a second insert of the same key waits for the next group. */
    private fun take(group: MutableMap<String, Insert>, postponed: ArrayDeque<Insert>, insert: Insert) {
        if (group.size >= settings.groupSize || insert.rowKey in group) {
            postponed.addLast(insert)
        } else {
            group[insert.rowKey] = insert
        }
    }

    private suspend fun write(group: List<Insert>) {
        var open = group
        while (open.isNotEmpty()) {
            val writes = open.map { ConditionalWrite(it.rowKey, it.value, RowCondition.Absent) }
            val result = table.transact(writes)
            val rejected = (result.getOrNull() as? TransactionResult.Rejected)?.failed
            if (rejected == null) {
                open.forEach { it.inserted.complete(result.map { true }) }
                return
            }
            val (present, absent) = open.withIndex().partition { it.index in rejected }
            present.forEach { it.value.inserted.complete(Either.Right(false)) }
            open = absent.map { it.value }
        }
    }
}
