package codec

import "github.com/vmihailenco/msgpack/v5"

// DecodeFields decodes a struct that is encoded as an array into its fields, which are
// pointers in the order of the encoding. Fields that the array lacks, since an earlier
// version encoded it, keep their values; further elements are skipped. The library refuses
// arrays of another length than the struct has fields. Types to which a version adds fields
// at the end call DecodeFields in their DecodeMsgpack.
func DecodeFields(d *msgpack.Decoder, fields ...any) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := range n {
		if i >= len(fields) {
			err = d.Skip()
		} else {
			err = d.Decode(fields[i])
		}
		if err != nil {
			return err
		}
	}
	return nil
}
