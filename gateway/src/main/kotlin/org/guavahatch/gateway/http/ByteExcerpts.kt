package org.guavahatch.gateway.http

import io.netty.buffer.ByteBuf

/** The first [maximum] unread bytes, one character for each. */
internal fun ByteBuf.latin1(maximum: Int): String =
    toString(readerIndex(), minOf(maximum, readableBytes()), Charsets.ISO_8859_1)

/** The first [maximum] unread bytes as printable ASCII, for logs; other bytes as escape sequences. */
fun ByteBuf.excerpt(maximum: Int): String = latin1(maximum).map(::escape).joinToString("")

private fun escape(character: Char): String = when (character) {
    '\r' -> "\\r"
    '\n' -> "\\n"
    in ' '..'~' -> character.toString()
    else -> "\\x%02x".format(character.code)
}
