package gentiandale.relay.upstream

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandler
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** Time for which [decoder] keeps back the end of a body that may be followed by the rest of a head. */
internal class BodyEndWait(private val decoder: ChannelInboundHandler) {
    private var timer: ScheduledFuture<*>? = null

    /** Whether nothing more is awaited behind the present body. */
    var isOver = false

    /** Starts waiting, unless that has been done; at the end, what is kept back is decoded again. */
    fun start(ctx: ChannelHandlerContext) {
        if (timer == null) schedule(ctx, ROUNDS)
    }

    /** Stops waiting. */
    fun stop() {
        timer?.cancel(false)
        timer = null
        isOver = false
    }

    private fun schedule(ctx: ChannelHandlerContext, rounds: Int) {
        timer = ctx.executor().schedule({ onTime(ctx, rounds - 1) }, ROUND_MS, TimeUnit.MILLISECONDS)
    }

    private fun onTime(ctx: ChannelHandlerContext, rounds: Int) {
        if (rounds > 0) return schedule(ctx, rounds)
        // Nothing is read while the caller is slow.
        if (!ctx.channel().config().isAutoRead) return schedule(ctx, ROUNDS)
        timer = null
        isOver = true
        decoder.channelRead(ctx, Unpooled.EMPTY_BUFFER)
        decoder.channelReadComplete(ctx)
    }

    private companion object {
        /** The event loop reads between two rounds, also if it was busy for longer than the whole time. */
        const val ROUNDS = 2

        /** Longer than a part of a segment takes between data centres, and shorter than callers notice. */
        const val ROUND_MS = 40L
    }
}
