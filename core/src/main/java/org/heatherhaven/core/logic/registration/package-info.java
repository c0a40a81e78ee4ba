/** Registration of a node's target by its reports: which of its processes is in force, and whether it accepts calls. */
package org.heatherhaven.core.logic.registration;
