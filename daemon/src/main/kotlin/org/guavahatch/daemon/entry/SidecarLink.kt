package org.guavahatch.daemon.entry

import arrow.core.Either
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.guavahatch.coordination.store.Instance
import org.guavahatch.daemon.settings.EntrySettings
import org.guavahatch.daemon.transport.ConnectionError
import org.guavahatch.daemon.transport.Handshake
import org.guavahatch.daemon.transport.InnerConnection
import org.guavahatch.model.time.Clock
import org.guavahatch.protocol.message.Heartbeat
import org.guavahatch.protocol.message.Hello
import org.guavahatch.protocol.message.Message
import kotlin.random.Random

/** Takes what happens on the connections to sidecars. */
internal interface LinkListener {
    /** First message of a new connection to [instance]. */
    fun hello(challenge: String): Hello

    fun heartbeat(): Heartbeat

    fun onUp(link: SidecarLink, hello: Hello)

    fun onMessage(link: SidecarLink, message: Message)

    fun onDown(link: SidecarLink, error: ConnectionError)
}

/** Keeps one connection to one sidecar: a connection that ends or goes silent is replaced by a new one. */
internal class SidecarLink(
    val instance: Instance,
    private val settings: EntrySettings,
    private val handshake: Handshake,
    private val selector: SelectorManager,
    private val clock: Clock,
    private val listener: LinkListener,
    private val scope: CoroutineScope,
) {
    @Volatile
    private var connection: InnerConnection? = null
    private var job: Job? = null

    val isUp: Boolean get() = connection != null

    fun start() {
        job = scope.launch {
            var pause = FIRST_PAUSE_MILLISECONDS
            while (true) {
                val wasUp = connectOnce()
                pause = if (wasUp) FIRST_PAUSE_MILLISECONDS else minOf(pause * 2, LONGEST_PAUSE_MILLISECONDS)
                delay(pause + Random.nextLong(pause))
            }
        }
    }

    suspend fun stop() {
        job?.cancelAndJoin()
    }

    /** Sends [message] on the present connection; drops it if there is none. */
    fun send(message: Message) {
        connection?.send(message)
    }

    private suspend fun connectOnce(): Boolean {
        val fresh = dial() ?: return false
        val writer = scope.launch { fresh.writeQueued() }
        try {
            return when (val greeting = handshake.perform(fresh, listener::hello)) {
                is Either.Left -> false
                is Either.Right -> serve(fresh, greeting.value)
            }
        } finally {
            fresh.close()
            writer.cancelAndJoin()
        }
    }

    private suspend fun dial(): InnerConnection? = try {
        withTimeoutOrNull(settings.silenceMilliseconds) {
            aSocket(selector).tcp().connect(instance.host, instance.port) { noDelay = true }
        }?.let { InnerConnection(it, clock) }
    } catch (exception: CancellationException) {
        throw exception
    } catch (_: Exception) {
        null
    }

    private suspend fun serve(fresh: InnerConnection, hello: Hello): Boolean {
        if (hello.name != instance.name) return false
        connection = fresh
        listener.onUp(this, hello)
        val keepAlive = scope.launch { keepAlive(fresh) }
        var end: ConnectionError = ConnectionError.Closed(STEP, fresh.peer, "The link was stopped.")
        try {
            end = receive(fresh)
            return true
        } finally {
            connection = null
            keepAlive.cancel()
            listener.onDown(this, end)
        }
    }

    private suspend fun keepAlive(fresh: InnerConnection) {
        fresh.keepAlive(settings.heartbeatMilliseconds, settings.silenceMilliseconds) { listOf(listener.heartbeat()) }
    }

    private suspend fun receive(fresh: InnerConnection): ConnectionError {
        while (true) {
            when (val received = fresh.receive(STEP)) {
                is Either.Left -> return received.value
                is Either.Right -> listener.onMessage(this, received.value)
            }
        }
    }

    private companion object {
        const val STEP = "receive from sidecar"
        const val FIRST_PAUSE_MILLISECONDS = 25L
        const val LONGEST_PAUSE_MILLISECONDS = 400L
    }
}
