package org.guavahatch.gateway.observation

import org.tinylog.kotlin.Logger
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Structured log of decisions: one JSON object per line.
 *
 * The calling thread never waits for output: lines pass through a bounded queue to a writer thread. Lines that do not
 * fit are dropped, and a later line reports their number.
 *
 * @property zone availability zone of the gateway
 */
class DecisionLog(private val instance: String, val zone: String) {
    private val lines = ArrayBlockingQueue<String>(QUEUE_CAPACITY)
    private val dropped = AtomicLong()
    private val pendingLines = AtomicInteger()
    private val writer = Thread(::writeLoop, "decision-log").apply { isDaemon = true }

    /** Number of lines dropped since the start because the queue was full. */
    val droppedLines: Long get() = dropped.get()

    /** Starts the writer thread. */
    fun start() = writer.start()

    /** Writes one line about [event]; [fields] adds the values that the decision was based on. */
    fun write(event: String, fields: LogLine.() -> Unit = {}) {
        if (lines.remainingCapacity() == 0) {
            dropped.incrementAndGet()
            return
        }
        val line = LogLine(event, instance).apply(fields).finish()
        pendingLines.incrementAndGet()
        if (lines.offer(line)) return
        pendingLines.decrementAndGet()
        dropped.incrementAndGet()
    }

    /** Waits until the queued lines are written; called once before the process ends. */
    fun flush() {
        val deadline = System.nanoTime() + FLUSH_TIMEOUT_NANOSECONDS
        while (pendingLines.get() > 0 && System.nanoTime() < deadline) Thread.sleep(1)
    }

    private fun writeLoop() {
        var reportedDrops = 0L
        while (true) {
            lines.poll(1, TimeUnit.SECONDS)?.let(::output)
            repeat(BATCH_LINES) { lines.poll()?.let(::output) }
            val drops = dropped.get()
            if (drops != reportedDrops) {
                Logger.info(LogLine("log.dropped", instance).apply { put("lines", drops - reportedDrops) }.finish())
                reportedDrops = drops
            }
            // Lines are written in batches, as each wake-up costs more than a line.
            Thread.sleep(BATCH_PAUSE_MILLISECONDS)
        }
    }

    private fun output(line: String) {
        Logger.info(line)
        pendingLines.decrementAndGet()
    }

    private companion object {
        /** About one second of lines at the highest rate. */
        const val QUEUE_CAPACITY = 2_048

        /** Together with the pause, limits the output to 2,560 lines per second. */
        const val BATCH_LINES = 256
        const val BATCH_PAUSE_MILLISECONDS = 100L

        /** A full queue takes eight batches to write. */
        const val FLUSH_TIMEOUT_NANOSECONDS = 1_000_000_000L
    }
}

/** Builds one line of the log. */
class LogLine internal constructor(event: String, instance: String) {
    private val text = StringBuilder(INITIAL_LENGTH)

    init {
        text.append("{\"at\":").append(System.currentTimeMillis())
        put("event", event)
        put("instance", instance)
    }

    /** Adds a field; numbers and booleans are written as such, other values as strings. */
    fun put(name: String, value: Any) {
        text.append(",\"").append(name).append("\":")
        if (value is Number || value is Boolean) text.append(value) else appendQuoted(value.toString())
    }

    private fun appendQuoted(value: String) {
        text.append('"')
        value.take(MAXIMUM_VALUE_LENGTH).forEach { character ->
            when {
                character == '"' || character == '\\' -> text.append('\\').append(character)
                character < ' ' -> text.append(' ')
                else -> text.append(character)
            }
        }
        text.append('"')
    }

    internal fun finish(): String = text.append('}').toString()

    private companion object {
        const val INITIAL_LENGTH = 200
        const val MAXIMUM_VALUE_LENGTH = 200
    }
}
