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

/** Inserts claims in batches, because the table service may allow only few transactions per second. */
internal class ClaimWriter(
    private val table: TableService,
    private val settings: ClaimSettings,
    scope: CoroutineScope,
) {
    private class Insert(
        val rowKey: String,
        val value: String,
        val result: CompletableDeferred<Either<PlatformError, Boolean>>,
    )

    private val inserts = Channel<Insert>(Channel.UNLIMITED)

    init {
        scope.launch { writeBatches(scope) }
    }

    /** Inserts a row. Returns false if a row with the same key exists. */
    suspend fun insert(rowKey: String, value: String): Either<PlatformError, Boolean> {
        val insert = Insert(rowKey, value, CompletableDeferred())
        inserts.send(insert)
        return insert.result.await()
    }

    private suspend fun writeBatches(scope: CoroutineScope) {
        val postponed = ArrayDeque<Insert>()
        while (true) {
            val batch = LinkedHashMap<String, Insert>()
            addOrPostpone(batch, postponed, postponed.removeFirstOrNull() ?: inserts.receive())
            delay(settings.batchDelayMilliseconds)
            repeat(postponed.size) { addOrPostpone(batch, postponed, postponed.removeFirst()) }
            while (batch.size < settings.maximumBatchSize) {
                addOrPostpone(batch, postponed, inserts.tryReceive().getOrNull() ?: break)
            }
            scope.launch { write(batch.values.toList()) }
        }
    }

    /** Postpones an insert if the batch is full or contains its key: a transaction may write a key only once. */
    private fun addOrPostpone(batch: MutableMap<String, Insert>, postponed: ArrayDeque<Insert>, insert: Insert) {
        if (batch.size >= settings.maximumBatchSize || insert.rowKey in batch) {
            postponed.addLast(insert)
        } else {
            batch[insert.rowKey] = insert
        }
    }

    private suspend fun write(batch: List<Insert>) {
        var pending = batch
        while (pending.isNotEmpty()) {
            val writes = pending.map { ConditionalWrite(it.rowKey, it.value, RowCondition.Absent) }
            val transaction = table.transact(writes)
            val rejected = (transaction.getOrNull() as? TransactionResult.Rejected)?.failed
            if (rejected == null) {
                pending.forEach { it.result.complete(transaction.map { true }) }
                return
            }
            val (present, absent) = pending.withIndex().partition { it.index in rejected }
            present.forEach { it.value.result.complete(Either.Right(false)) }
            pending = absent.map { it.value }
        }
    }
}
