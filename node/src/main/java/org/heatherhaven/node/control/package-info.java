/** The control thread: one mailbox in, effects out, and the clock it goes by. */
package org.heatherhaven.node.control;
